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
	decision, refusal := keeper.shards[key.slice].find(key, forwarded, now, &effects)
	return keeper.confirm(decision, refusal, now, &effects)
}

func (shard *shard) find(key Key, forwarded bool, now time.Time, effects *effects) (Decision, *refusal) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	stored := shard.lookUp(key, now)
	local := stored != nil && stored.holder == shard.self() && stored.state >= StateStarted
	if decision := shard.ownershipDecision(key, forwarded); decision != nil && !local {
		return decision, nil
	}
	switch {
	case stored == nil && shard.uncertaintyReason(key, now) != "":
		return unknownAnswer(shard.uncertaintyReason(key, now)), nil
	case stored == nil:
		return Absent{}, nil
	case shard.attempts[key.text] != nil:
		return Running{}, nil
	}
	submission := Submission{Key: key.text, Digest: stored.digest, Forwarded: forwarded}
	result := shard.answerFromRecord(key, stored, submission, effects, now)
	if result.refusal != nil {
		return nil, shard.refusal(key, submission, *result.refusal, nil, now)
	}
	if _, joined := result.decision.(Joined); joined {
		return Running{}, nil
	}
	return result.decision, nil
}
