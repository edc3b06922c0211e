package reporter

import (
	"hash/maphash"
	"sync"
	"time"
)

// keyShards bounds contention: concurrent answers rarely share a lock.
const keyShards = 32

// keyState is what is known of the count of one key.
type keyState struct {
	holder    uint64 // the instance that may count it
	counted   bool   // it was counted here
	unclaimed bool   // it was kept apart here as unclaimed
}

// keyShard holds the claims of some keys in two generations, so that a claim lives one to two retention
// periods and expiry costs nothing per key.
type keyShard struct {
	mu       sync.Mutex
	current  map[uint64]keyState
	previous map[uint64]keyState
	rotated  time.Time
}

// keys remembers which keys were counted or granted, by fingerprint. Two keys share a 64-bit fingerprint with a
// probability of about 3e-6 at ten million keys; one of the two requests is then not counted.
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

// update applies decide to the claim of key and reports its decision; a full table decides nothing.
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
		// The claim stays in its generation: a resubmission must not extend its life.
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

// grant reports whether holder may count key; the first holder that asks may, and may ask again.
func (keys *keys) grant(key, holder string, now time.Time) bool {
	requester := keys.fingerprint(holder) | 1 // never zero, which means no holder
	granted, _ := keys.update(key, now, func(keyState *keyState) bool {
		if keyState.holder == 0 && !keyState.counted {
			keyState.holder = requester
		}
		return keyState.holder == requester
	})
	return granted
}

// count reports whether an answer to key is to be counted here now; full means that it cannot be told.
func (keys *keys) count(key string, grant Grant, now time.Time) (counts, full bool) {
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
