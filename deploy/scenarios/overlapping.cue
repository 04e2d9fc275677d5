// Half the readers are lost, the links slow down and the traffic surges, in overlapping intervals.
lasts_s:   240
instances: 4
traffic: rate: 40
troubles: [
	{kind: "readers-dead", share: 0.5, from_s: 30, to_s: 120},
	{kind: "slow-links", share: 10, from_s: 60, to_s: 150},
	{kind: "jump", share: 2, from_s: 90, to_s: 180},
]
