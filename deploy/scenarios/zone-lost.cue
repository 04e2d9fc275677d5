// One of two zones is lost for a minute at normal load and returns in slow start.
lasts_s:   180
instances: 4
traffic: rate: 60
troubles: [{kind: "zone-lost", zone: 1, from_s: 30, to_s: 90}]
