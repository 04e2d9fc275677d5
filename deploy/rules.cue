// Rules over requests: the first one whose condition holds decides. Off unless the dispatcher is started with
// --rules deploy/rules.cue (or BITTERNFERRY_RULES). docs/rules.md describes the language and has examples.

// A rule set whose worst-case cost per request is higher than this is rejected.
budget_ns: 5_000

// Maximum number of keys that are counted; each takes 38 bytes.
keys: 100_000

// headers: tier: {name: "X-Tier", longest: 32}

rules: []
