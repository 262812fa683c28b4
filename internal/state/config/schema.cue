#Name: =~"^[a-z][a-z0-9-]{0,62}$"

#Prefix: {
	tokens: int & >=0 & <=1_000_000
}

#Service: {
	versions: [string, ...string]
	prefixes: [#Name]: #Prefix
	queue?: int & >=1 & <=100_000
}

#Template: {
	service!:             #Name
	prefix?:              string
	startMilliseconds?:   int & >=50 & <=60_000
	abandonMilliseconds!: int & >=100 & <=600_000
	priority?:            int & >=1 & <=9
	repeat?:              bool
	mostTokens?:          int & >=1 & <=4096
	match?:               string
	repeatWhen?:          string
}

#Digest: =~"^sha256:[0-9a-f]{64}$"

#Tenant: {
	repeatPercent?:   int & >=0 & <=20
	repeatAllowance?: int & >=0 & <=20
	kinds: [#Name]: #Template
	// At least one: a tenant without any needs no key at all.
	credentials?: [#Digest, ...#Digest]
}

#Configuration: {
	halls: [#Name, ...#Name]
	services: [#Name]: #Service
	parameters: {...}
	tenants: [#Name]: #Tenant
}
