halls: ["lowell", "nashua"]

parameters: startMilliseconds: int & >=50 | *500

services: bulletin: {
	versions: ["m1", "m2"]
	prefixes: "calibration-lowell": tokens: 5000
	queue: 512
}

tenants: merrimack: {
	repeatPercent:   20
	repeatAllowance: 3
	kinds: {
		flag: {service: "bulletin", prefix: "calibration-lowell", startMilliseconds: parameters.startMilliseconds, abandonMilliseconds: 3000, mostTokens: 8, priority: 8}
		dispatch: {service: "bulletin", startMilliseconds: parameters.startMilliseconds, abandonMilliseconds: 8000, mostTokens: 48, repeat: true}
	}
}
