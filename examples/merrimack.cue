// Merrimack's fleet: pass-or-hold flags before the bulletin, dispatch notes.
halls: ["lowell", "nashua", "concord"]

parameters: {
	startMilliseconds: int & >=50 | *500
	flagAbandon:       int | *3000
	noteAbandon:       int | *8000
}

services: bulletin: {
	versions: ["m1", "m2"]
	prefixes: {
		"calibration-lowell":  tokens: 5000
		"calibration-concord": tokens: 5000
	}
	queue: 512
}

#Kind: #Template & {
	service:             "bulletin"
	startMilliseconds:   parameters.startMilliseconds
}

tenants: merrimack: kinds: {
	flag: #Kind & {prefix: "calibration-lowell", abandonMilliseconds: parameters.flagAbandon, mostTokens: 8, priority: 8}
	"flag-concord": #Kind & {prefix: "calibration-concord", abandonMilliseconds: parameters.flagAbandon, mostTokens: 8, priority: 8}
	dispatch: #Kind & {abandonMilliseconds: parameters.noteAbandon, mostTokens: 48, repeat: true}
}
