// Degradation levels, the mildest first. Off unless the dispatcher is started with --levels deploy/levels.cue
// (or BITTERNFERRY_LEVELS). docs/levels.md describes the fields and signals. The classes are those of the settings.
levels: [
	{
		name:  "spare-commands"
		enter: "late.command > 0.10"
		leave: "late.command < 0.03"
		// Sheds retries and the requests of accounts over their quota before any others.
		shed: [{classes: ["ask"], when: "account.use > 1.0 || request.retry"}]
	},
	{
		name:  "half-the-asks"
		// A lost zone alone does not enter the level, because the other zones may carry its load.
		enter: "late.command > 0.25 || (ready.least_zone_readers < 0.5 && late.ask > 0.3)"
		leave: "late.command < 0.08 && late.ask < 0.1"
		// Sheds by the key of the conversation, so that a conversation that is served stays served.
		shed: [{classes: ["ask"], when: "!has(request.session) || request.session < '8'", retry_ms: {least: 1000, most: 4000}}]
	},
	{
		name:  "commands-only"
		enter: "late.command > 0.50"
		leave: "late.command < 0.20"
		enter_for_ms: 2_000
		shed: [{classes: ["ask"], retry_ms: {least: 2000, most: 8000}}]
	},
]
