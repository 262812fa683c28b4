// Package credential holds the tenants that may call the fleet, with the digests of their API
// keys, and finds the tenant of the key that a request carries.
//
// A key in clear exists in three places only: in what the caller sends, in what the operator
// sends, and on the terminal of whoever made it with [NewKey]. [FromHeader] and [DigestOf] hash
// it at once, and all other code has a [Digest] or a [Presented], neither of which can be turned
// back. The texts of this package's errors name tenants and reasons, never keys.
//
// Package route has the tenants of a configuration as part of its table, and builds an [Index]
// of them once, before the table is put in force; an index is safe for concurrent use. Package
// config has the digests of a document's tenants, of which each request names its own.
package credential
