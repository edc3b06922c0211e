package reporter

import (
	"hash/maphash"
	"sync"
	"time"
)

// keyShards is large enough that concurrent answers rarely share a lock.
const keyShards = 32

// keyState records which instance may count a key and whether it was counted.
type keyState struct {
	holder    uint64 // fingerprint of the instance that may count the key; 0 if none was granted it
	counted   bool   // whether this instance counted an answer to the key
	unclaimed bool   // whether this instance counted an unclaimed answer to the key
}

// keyShard holds the states of a subset of the keys in two generations. A state is kept for one to two retention
// periods, and expiry needs no work per key.
type keyShard struct {
	mu       sync.Mutex
	current  map[uint64]keyState
	previous map[uint64]keyState
	rotated  time.Time
}

// keys holds the states of counted and granted keys by fingerprint. With ten million keys, the probability that two of
// them share a 64-bit fingerprint is about 3e-6; one of the two requests is then not counted.
type keys struct {
	seed        maphash.Seed
	retention   time.Duration
	maxPerShard int
	shards      [keyShards]keyShard
}

func newKeys(retention time.Duration, limit int) *keys {
	keys := &keys{seed: maphash.MakeSeed(), retention: retention, maxPerShard: max(limit/keyShards, 1)}
	for i := range keys.shards {
		keys.shards[i].current = make(map[uint64]keyState)
	}
	return keys
}

func (keys *keys) fingerprint(text string) uint64 { return maphash.String(keys.seed, text) }

// update applies decide to the state of key and returns its result as decided. If the key is new and its shard is full,
// update does not call decide and reports full.
func (keys *keys) update(key string, now time.Time, decide func(keyState *keyState) bool) (decided, full bool) {
	fingerprint := keys.fingerprint(key)
	shard := &keys.shards[fingerprint%keyShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.rotate(now, keys.retention)
	entry, ok := shard.current[fingerprint]
	if !ok {
		if entry, ok = shard.previous[fingerprint]; !ok && len(shard.current) >= keys.maxPerShard {
			return false, true
		}
	}
	decided = decide(&entry)
	if _, inPrevious := shard.previous[fingerprint]; inPrevious {
		// The state stays in its generation: a resubmission must not extend its lifetime.
		shard.previous[fingerprint] = entry
	} else {
		shard.current[fingerprint] = entry
	}
	return decided, false
}

// rotate drops the older generation once per retention period; the caller holds shard.mu.
func (shard *keyShard) rotate(now time.Time, retention time.Duration) {
	age := now.Sub(shard.rotated)
	if age < retention {
		return
	}
	if shard.previous = shard.current; age >= 2*retention {
		shard.previous = nil
	}
	shard.current = make(map[uint64]keyState)
	shard.rotated = now
}

// grant reports whether holder may count key. Unless this instance has already counted it, the first instance that asks
// may, and gets the same result if it asks again.
func (keys *keys) grant(key, holder string, now time.Time) bool {
	requester := keys.fingerprint(holder) | 1 // not 0, which means no holder
	granted, _ := keys.update(key, now, func(keyState *keyState) bool {
		if keyState.holder == 0 && !keyState.counted {
			keyState.holder = requester
		}
		return keyState.holder == requester
	})
	return granted
}

// count reports whether this instance must count an answer to key, and marks the key as counted or unclaimed. If the
// state of the key could not be stored, it reports full.
func (keys *keys) count(key string, grant Grant, now time.Time) (shouldCount, full bool) {
	return keys.update(key, now, func(keyState *keyState) bool {
		switch {
		case keyState.counted, grant == Denied, grant == KeyOwner && keyState.holder != 0:
			return false
		case grant == Undecided:
			first := !keyState.unclaimed
			keyState.unclaimed = true
			return first
		}
		keyState.counted = true
		return true
	})
}
