package keeper

import "time"

// NoRecord means that this owner holds no record of the key: it was not submitted, or its record has expired.
type NoRecord struct{}

func (NoRecord) isDecision() {}

// Lookup returns what is known of a key, without starting anything: Answer, AnswerLost, Joined while the job
// is pending or running here, Forward, ForwardDomain, NotYet
// or NoRecord; no event follows.
func (keeper *Keeper) Lookup(text string, forwarded bool, now time.Time) Decision {
	key, decision := keeper.parse(text, forwarded)
	if decision != nil {
		return decision
	}
	return keeper.shards[key.slice].lookup(key, forwarded, now)
}

func (shard *shard) lookup(key Key, forwarded bool, now time.Time) Decision {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	known := shard.lookUp(key, now)
	own := known != nil && known.holder == shard.self() && known.state >= StateStarted
	if !own {
		if decision := shard.standingDecision(key, forwarded); decision != nil {
			return decision
		}
	}
	switch {
	case known == nil:
		if detail := shard.doubt(key, now); detail != "" {
			return unknown(detail)
		}
		return NoRecord{}
	case shard.attempts[key.text] != nil, known.state == StateCancelled && !known.confirmed:
		return Joined{}
	case known.state == StateCancelled && key.form == PlainKey:
		// After the retention period a successor may have run the key again, and a look-up confirms nothing.
		return unknown(detailUnconfirmed)
	default:
		var effects effects
		return shard.recallSettled(key, known, Submission{Key: key.text, Digest: known.digest, Forwarded: forwarded}, &effects, now)
	}
}
