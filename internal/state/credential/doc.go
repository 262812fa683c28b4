// Package credential holds the tenants that may call the fleet, with the digests of their API
// keys, and finds the tenant whose key a request presents.
//
// A plaintext key exists in three places only: in the request of a caller, in the request of an
// operator, and on the terminal where it was generated with [NewKey]. [FromHeader] and [DigestOf]
// hash the key immediately. All other code handles a [Digest] or a [Presented], from which the key
// can't be recovered. The error texts of this package name tenants and reasons, never keys.
//
// The table of package route contains the tenants of a configuration. The table builds an [Index]
// of its tenants once, before it becomes active; an index is safe for concurrent use. Package
// config keeps the digests of the tenants in a document. There, each request names its tenant.
package credential
