// The Asociación's fleet: waiver verdicts at the gates, replies at the counters.
halls: ["norte", "centro", "sur"]

parameters: {
	startMilliseconds:   int & >=50 | *500
	longAbandon:         int | *3000
	shortAbandon:        int | *8000
	repeatPercent:       int & <=20 | *20
	counterMayRepeat:    bool | *true
}

services: reservas: {
	versions: ["r1", "r2"]
	prefixes: "tariff-book": tokens: 4000
	queue: 512
}

// One template for all kinds of request; each kind changes parameters only.
#Kind: #Template & {
	service:           "reservas"
	startMilliseconds: parameters.startMilliseconds
}

tenants: asociacion: {
	repeatPercent: parameters.repeatPercent
	kinds: {
		waiver: #Kind & {prefix: "tariff-book", abandonMilliseconds: parameters.longAbandon, mostTokens: 16}
		reply: #Kind & {abandonMilliseconds: parameters.shortAbandon, repeat: parameters.counterMayRepeat, mostTokens: 48}
	}
}
