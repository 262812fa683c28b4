package relay

import (
	"hash/maphash"
	"sync"

	"github.com/gammazero/deque"

	"coursepass/internal/schedule"
)

const (
	shards  = 16
	keepFor = 10 * 60 * schedule.Second
	most    = 1 << 16
)

type claim struct {
	key string
	at  schedule.Microseconds
}

type keyShard struct {
	lock  sync.Mutex
	keys  map[string]schedule.Microseconds
	order deque.Deque[claim]
}

// Keys remembers callers' keys, in use or ended, for a bounded time and number.
type Keys struct {
	seed   maphash.Seed
	shards [shards]keyShard
}

// NewKeys remembers nothing yet.
func NewKeys() *Keys {
	keys := &Keys{seed: maphash.MakeSeed()}
	for index := range keys.shards {
		keys.shards[index].keys = map[string]schedule.Microseconds{}
	}
	return keys
}

func (keys *Keys) shard(key string) *keyShard {
	return &keys.shards[maphash.String(keys.seed, key)%shards]
}

// Claim takes a key, or says that it is taken.
func (keys *Keys) Claim(now schedule.Microseconds, key string) bool {
	shard := keys.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	for shard.order.Len() > 0 {
		oldest := shard.order.Front()
		if now-oldest.at < keepFor && shard.order.Len() < most {
			break
		}
		shard.order.PopFront()
		if at, taken := shard.keys[oldest.key]; taken && at == oldest.at {
			delete(shard.keys, oldest.key)
		}
	}
	if _, taken := shard.keys[key]; taken {
		return false
	}
	shard.keys[key] = now
	shard.order.PushBack(claim{key, now})
	return true
}

// Free gives a key back whose request is proved not to have run.
func (keys *Keys) Free(key string) {
	shard := keys.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	delete(shard.keys, key)
}
