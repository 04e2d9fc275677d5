// State that the dispatchers of one fleet share. Off: each works alone. The daemon does not read this file yet. To turn it on,
// the platform's settings must allow messages between dispatchers (limits.peers) and `share` must be true here.
// docs/design/fleet-as-one.md has the design and what each value costs.
share: false

members: {
	period_ms:        1_000 // in which one member is probed
	probe_timeout_ms: 250
}
bytes: {
	per_second: 768 // that each member sends at most, all receivers counted
	burst:      16_384
}
rows: 4_096
rights: {
	lease_ms: 10_000 // of a loan between two members
	kept:     0.5    // fraction of a member's quota that it never lends
}
