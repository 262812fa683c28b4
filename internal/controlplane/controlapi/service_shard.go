package controlapi

import "hash/fnv"

// ServiceShard returns the index of the shard that has the engines of a service.
func ServiceShard(service string, shardCount int) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(service)) // A hash never fails.
	return 1 + int(hash.Sum32()%uint32(shardCount-1))
}
