// State that the dispatchers of one fleet share. If `share` is false, each dispatcher works alone. The daemon does not read
// this file yet. To turn sharing on, the platform's settings must allow messages between dispatchers (limits.peers) and `share`
// must be true here. docs/design/fleet-as-one.md describes the design and the cost of each value.
share: false

members: {
	period_ms:        1_000 // one member is probed per period
	probe_timeout_ms: 250
}
bytes: {
	per_second: 768 // maximum that each member sends, to all receivers together
	burst:      16_384
}
rows: 4_096
rights: {
	lease_ms: 10_000 // duration of a loan between two members
	kept:     0.5    // fraction of a member's quota that it never lends
}
