// What the dispatchers of one fleet share. Off: each works alone. To turn it on, the platform's settings must allow
// talk (limits.peers) and `share` be true here. docs/design/fleet-as-one.md has the design and what each figure costs.
share: false

members: {
	period_ms:        1_000 // one member is probed in each
	probe_timeout_ms: 250
}
bytes: {
	per_second: 768 // sent by each member at most, all receivers counted
	burst:      16_384
}
rows: 4_096
rights: {
	lease_ms: 10_000 // of what one member lends another
	kept:     0.5    // of its share, never lent
}
