package credential

import "encoding/binary"

// Index finds tenants by their keys. It is immutable and safe for concurrent use.
type Index struct {
	// buckets holds the entries by the first 8 bytes of their digests. A timing attack on the lookup
	// can reveal at most these 8 bytes, of a digest that the attacker can't choose.
	buckets map[uint64][]indexEntry
}

type indexEntry struct {
	digest Digest
	tenant *Tenant
}

// NewIndex returns an index of the tenants, which must have passed Validate.
func NewIndex(tenants map[string]Tenant) *Index {
	index := &Index{buckets: make(map[uint64][]indexEntry, len(tenants))}
	for _, tenant := range tenants {
		for _, digest := range tenant.Keys {
			bucket := bucketOf(digest)
			index.buckets[bucket] = append(index.buckets[bucket], indexEntry{digest, &tenant})
		}
	}
	return index
}

// bucketOf returns the first 8 bytes of a digest as a number, or 0 if the digest is shorter.
func bucketOf(digest Digest) uint64 {
	const size = 8
	if len(digest) < size {
		return 0
	}
	return binary.BigEndian.Uint64([]byte(digest[:size]))
}

// Find returns the tenant whose key a request presents, or nil if there is none. It compares the
// key's digest with all digests of a bucket, each in constant time.
func (i *Index) Find(presented Presented) *Tenant {
	var found *Tenant
	if i == nil || presented.digest == "" {
		return nil
	}
	for _, entry := range i.buckets[bucketOf(presented.digest)] {
		if presented.digest.equals(entry.digest) {
			found = entry.tenant
		}
	}
	return found
}
