package controlapi

import "hash/fnv"

// ServiceShard returns the index of the shard that holds the engines of a service. Shard 0 holds the
// configuration and no engines.
func ServiceShard(service string, shardCount int) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(service)) // Writing to a hash never fails.
	return 1 + int(hash.Sum32()%uint32(shardCount-1))
}
