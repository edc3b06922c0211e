package keeper

import "time"

// Cancel makes sure that a job which has not started never starts; forwarded marks a request from another instance.
// The job stays cancelled at this owner even if no confirmation follows. AwaitConfirmation is followed by the same
// events as for Refuse.
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
	if decision := shard.ownershipDecision(key, forwarded); decision != nil {
		return decision, nil
	}
	switch {
	case stored == nil:
		return shard.cancelFresh(key, now, effects), nil
	case stored.state == StateCancelled:
		submission := Submission{Key: key.text, Digest: stored.digest}
		result := shard.answerFromRecord(key, stored, submission, effects, now)
		if result.refusal != nil {
			return nil, shard.refusal(key, submission, *result.refusal, nil, now)
		}
		return result.decision, nil
	case shard.attempts[key.text] != nil:
		return shard.cancelPending(key, stored, now, effects), nil
	default:
		return AlreadyStarted{}, nil
	}
}

// cancelFresh cancels a job that has no record here, so that a later submission does not start it.
func (shard *shard) cancelFresh(key Key, now time.Time, effects *effects) Decision {
	if detail := shard.uncertaintyReason(key, now); detail != "" {
		return unknownAnswer(detail)
	}
	if shard.keeper.tableFull() {
		return unknownAnswer(detailFull)
	}
	stored := &record{view: shard.history.number(), state: StateCancelled, holder: shard.self()}
	shard.putRecord(key.text, stored)
	shard.expireLater(key, now.Add(shard.keeper.limits.Retention))
	return shard.replicate(key, Submission{Key: key.text}, stored, now, effects)
}

// cancelPending turns a pending start into a cancellation. The callers that wait for the start are answered together
// with the one that cancels.
func (shard *shard) cancelPending(key Key, stored *record, now time.Time, effects *effects) Decision {
	pending := shard.attempts[key.text]
	shard.withdraw(pending, stored, effects)
	stored.state = StateCancelled
	shard.expireLater(key, now.Add(shard.keeper.limits.Retention))
	ticket := shard.keeper.ticket()
	pending.tickets = append(pending.tickets, ticket)
	pending.tried, pending.requests, pending.fullRefusals = nil, 0, 0
	if !shard.requestWitness(pending, stored, now, effects) {
		// The next HandleDeadlines ends the attempt and reports it.
		pending.deadline = now
		shard.scheduleBy(now)
	}
	return AwaitWitness{Ticket: ticket}
}
