package reporter

import (
	"hash/maphash"
	"sync"
	"time"
)

// claimShards bounds contention: concurrent answers rarely share a lock.
const claimShards = 32

// claim is what is known of the count of one key.
type claim struct {
	holder  uint64 // the instance that may count it
	counted bool   // it was counted here
	unasked bool   // it was kept apart here as unclaimed
}

// claimShard holds the claims of some keys in two generations, so that a claim lives one to two retention
// periods and expiry costs nothing per key.
type claimShard struct {
	mu       sync.Mutex
	current  map[uint64]claim
	previous map[uint64]claim
	rotated  time.Time
}

// claims remembers which keys were counted or granted, by fingerprint. Two keys share a 64-bit fingerprint with a
// probability of about 3e-6 at ten million keys; one of the two requests is then not counted.
type claims struct {
	seed      maphash.Seed
	retention time.Duration
	perShard  int
	shards    [claimShards]claimShard
}

func newClaims(retention time.Duration, limit int) *claims {
	claims := &claims{seed: maphash.MakeSeed(), retention: retention, perShard: max(limit/claimShards, 1)}
	for i := range claims.shards {
		claims.shards[i].current = make(map[uint64]claim)
	}
	return claims
}

func (claims *claims) fingerprint(text string) uint64 { return maphash.String(claims.seed, text) }

// change applies decide to the claim of key and reports its decision; a full table decides nothing.
func (claims *claims) change(key string, now time.Time, decide func(claim *claim) bool) (decided, full bool) {
	fingerprint := claims.fingerprint(key)
	shard := &claims.shards[fingerprint%claimShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.rotate(now, claims.retention)
	entry, ok := shard.current[fingerprint]
	if !ok {
		if entry, ok = shard.previous[fingerprint]; !ok && len(shard.current) >= claims.perShard {
			return false, true
		}
	}
	decided = decide(&entry)
	if _, old := shard.previous[fingerprint]; old {
		// The claim stays in its generation: a resubmission must not extend its life.
		shard.previous[fingerprint] = entry
	} else {
		shard.current[fingerprint] = entry
	}
	return decided, false
}

// rotate drops the older generation once per retention period; the caller holds shard.mu.
func (shard *claimShard) rotate(now time.Time, retention time.Duration) {
	age := now.Sub(shard.rotated)
	if age < retention {
		return
	}
	if shard.previous = shard.current; age >= 2*retention {
		shard.previous = nil
	}
	shard.current = make(map[uint64]claim)
	shard.rotated = now
}

// grant reports whether holder may count key; the first holder that asks may, and may ask again.
func (claims *claims) grant(key, holder string, now time.Time) bool {
	asker := claims.fingerprint(holder) | 1 // never zero, which means no holder
	granted, _ := claims.change(key, now, func(claim *claim) bool {
		if claim.holder == 0 && !claim.counted {
			claim.holder = asker
		}
		return claim.holder == asker
	})
	return granted
}

// count reports whether an answer to key is to be counted here now; full means that it cannot be told.
func (claims *claims) count(key string, grant Grant, now time.Time) (counts, full bool) {
	return claims.change(key, now, func(claim *claim) bool {
		switch {
		case claim.counted, grant == Denied, grant == KeyOwner && claim.holder != 0:
			return false
		case grant == Undecided:
			first := !claim.unasked
			claim.unasked = true
			return first
		}
		claim.counted = true
		return true
	})
}
