package keeper

import "time"

// Find returns what is known of a job without starting it; forwarded marks a request from another instance. The
// decision is Answer, AnswerLost, Running, Absent, Forward, ForwardDomain or RetryLater or, for a cancelled job whose
// cancellation has to be confirmed first, AwaitWitness or AwaitConfirmation.
func (keeper *Keeper) Find(text string, forwarded bool, now time.Time) (Decision, []Outgoing) {
	key, decision := keeper.parse(text, forwarded)
	if decision != nil {
		return decision, nil
	}
	var effects effects
	decision, refusal := keeper.sliceStates[key.slice].find(key, forwarded, now, &effects)
	return keeper.confirm(decision, refusal, now, &effects)
}

func (sliceState *sliceState) find(key Key, forwarded bool, now time.Time, effects *effects) (Decision, *refusal) {
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	stored := sliceState.lookUp(key, now)
	local := stored != nil && stored.holder == sliceState.self() && stored.state >= StateStarted
	if decision := sliceState.ownershipDecision(key, forwarded); decision != nil && !local {
		return decision, nil
	}
	switch {
	case stored == nil && sliceState.uncertaintyReason(key, now) != "":
		return unknownAnswer(sliceState.uncertaintyReason(key, now)), nil
	case stored == nil:
		return Absent{}, nil
	case sliceState.attempts[key.text] != nil:
		return Running{}, nil
	}
	submission := Submission{Key: key.text, Digest: stored.digest, Forwarded: forwarded}
	result := sliceState.answerFromRecord(key, stored, submission, effects, now)
	if result.refusal != nil {
		return nil, sliceState.refusal(key, submission, *result.refusal, nil, now)
	}
	if _, joined := result.decision.(Joined); joined {
		return Running{}, nil
	}
	return result.decision, nil
}
