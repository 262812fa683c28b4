package credential

import "encoding/binary"

// Index finds tenants by their keys. It does not change, and is safe for concurrent use.
type Index struct {
	// buckets are the entries by the first bytes of their digests. A caller who could measure
	// the lookup would learn these bytes at most, of a digest that it can't choose.
	buckets map[uint64][]indexEntry
}

type indexEntry struct {
	digest Digest
	tenant *Tenant
}

// NewIndex returns an index of the tenants, which must be valid.
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

// bucketOf returns the first bytes of a digest, 0 of one that is too short.
func bucketOf(digest Digest) uint64 {
	const size = 8
	if len(digest) < size {
		return 0
	}
	return binary.BigEndian.Uint64([]byte(digest[:size]))
}

// Find returns the tenant whose key a request carries, nil if there is none. It compares with the
// digests of a bucket in constant time.
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
