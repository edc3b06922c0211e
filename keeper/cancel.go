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
	decision, refusal := keeper.sliceStates[key.slice].cancel(key, forwarded, now, &effects)
	return keeper.confirm(decision, refusal, now, &effects)
}

func (sliceState *sliceState) cancel(key Key, forwarded bool, now time.Time, effects *effects) (Decision, *refusal) {
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	stored := sliceState.lookUp(key, now)
	if stored != nil && stored.holder == sliceState.self() && stored.state >= StateStarted {
		return AlreadyStarted{}, nil
	}
	if decision := sliceState.ownershipDecision(key, forwarded); decision != nil {
		return decision, nil
	}
	switch {
	case stored == nil:
		return sliceState.cancelFresh(key, now, effects), nil
	case stored.state == StateCancelled:
		submission := Submission{Key: key.text, Digest: stored.digest}
		result := sliceState.answerFromRecord(key, stored, submission, effects, now)
		if result.refusal != nil {
			return nil, sliceState.refusal(key, submission, *result.refusal, nil, now)
		}
		return result.decision, nil
	case sliceState.attempts[key.text] != nil:
		return sliceState.cancelPending(key, stored, now, effects), nil
	default:
		return AlreadyStarted{}, nil
	}
}

// cancelFresh cancels a job that has no record here, so that a later submission does not start it.
func (sliceState *sliceState) cancelFresh(key Key, now time.Time, effects *effects) Decision {
	if detail := sliceState.uncertaintyReason(key, now); detail != "" {
		return unknownAnswer(detail)
	}
	if sliceState.keeper.tableFull() {
		return unknownAnswer(detailFull)
	}
	stored := &record{view: sliceState.history.number(), state: StateCancelled, holder: sliceState.self()}
	sliceState.putRecord(key.text, stored)
	sliceState.expireLater(key, now.Add(sliceState.keeper.limits.Retention))
	return sliceState.replicate(key, Submission{Key: key.text}, stored, now, effects)
}

// cancelPending turns a pending start into a cancellation. The callers that wait for the start are answered together
// with the one that cancels.
func (sliceState *sliceState) cancelPending(key Key, stored *record, now time.Time, effects *effects) Decision {
	pending := sliceState.attempts[key.text]
	sliceState.withdraw(pending, stored, effects)
	stored.state = StateCancelled
	sliceState.expireLater(key, now.Add(sliceState.keeper.limits.Retention))
	ticket := sliceState.keeper.ticket()
	pending.tickets = append(pending.tickets, ticket)
	pending.tried, pending.requests, pending.fullRefusals = nil, 0, 0
	if !sliceState.requestWitness(pending, stored, now, effects) {
		// The next HandleDeadlines ends the attempt and reports it.
		pending.deadline = now
		sliceState.scheduleBy(now)
	}
	return AwaitWitness{Ticket: ticket}
}
