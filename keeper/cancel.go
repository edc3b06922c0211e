package keeper

import "time"

// Cancel settles a job that has not started as cancelled; forwarded marks a request of another instance. The
// job stays cancelled at this owner even if no confirmation follows. An AwaitConfirmation is answered as for
// Refuse.
func (keeper *Keeper) Cancel(text string, forwarded bool, now time.Time) (Decision, []Outgoing) {
	key, decision := keeper.parse(text, forwarded)
	if decision != nil {
		return decision, nil
	}
	var effects effects
	decision, refusal := keeper.shards[key.slice].cancel(key, forwarded, now, &effects)
	return keeper.confirm(decision, refusal, now, &effects)
}

func (shard *shard) cancel(key Key, forwarded bool, now time.Time, effects *effects) (Decision, *refusal) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	stored := shard.lookUp(key, now)
	if stored != nil && stored.holder == shard.self() && stored.state >= StateStarted {
		return AlreadyStarted{}, nil
	}
	if decision := shard.standingDecision(key, forwarded); decision != nil {
		return decision, nil
	}
	switch {
	case stored == nil:
		return shard.cancelFresh(key, now, effects), nil
	case stored.state == StateCancelled:
		submission := Submission{Key: key.text, Digest: stored.digest}
		verdict := shard.recall(key, stored, submission, effects, now)
		if verdict.refusal != nil {
			return nil, shard.refusal(key, submission, *verdict.refusal, nil, now)
		}
		return verdict.decision, nil
	case shard.attempts[key.text] != nil:
		return shard.cancelPending(key, stored, now, effects), nil
	default:
		return AlreadyStarted{}, nil
	}
}

// cancelFresh cancels a job that has not been submitted here, so that it never starts.
func (shard *shard) cancelFresh(key Key, now time.Time, effects *effects) Decision {
	if detail := shard.doubt(key, now); detail != "" {
		return unknown(detail)
	}
	if shard.keeper.full() {
		return unknown(detailFull)
	}
	stored := &record{view: shard.place.number(), state: StateCancelled, holder: shard.self()}
	shard.put(key.text, stored)
	shard.expireLater(key, now.Add(shard.keeper.limits.Retention))
	return shard.replicate(key, Submission{Key: key.text}, stored, now, effects)
}

// cancelPending turns a pending start into a cancellation; its waiters learn of it with the canceller.
func (shard *shard) cancelPending(key Key, stored *record, now time.Time, effects *effects) Decision {
	pending := shard.attempts[key.text]
	shard.withdraw(pending, stored, effects)
	stored.state = StateCancelled
	shard.expireLater(key, now.Add(shard.keeper.limits.Retention))
	ticket := shard.keeper.ticket()
	pending.tickets = append(pending.tickets, ticket)
	pending.tried, pending.tries, pending.fulls = nil, 0, 0
	if !shard.request(pending, stored, now, effects) {
		// The next Expire ends the attempt and tells its waiters.
		pending.deadline = now
		shard.wake(now)
	}
	return AwaitWitness{Ticket: ticket}
}
