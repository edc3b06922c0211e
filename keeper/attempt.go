package keeper

import (
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const (
	// witnessRounds is how often the list of possible witnesses is tried: a second round covers one lost
	// message, and more would only delay the answer "unknown".
	witnessRounds = 2
	// maxRequests bounds the messages of one attempt in a large failure domain.
	maxRequests = 6
)

// replicate starts an attempt for a record of this owner.
func (shard *shard) replicate(key Key, submission Submission, stored *record, now time.Time, effects *effects) Decision {
	if key.form == SoloKey || shard.isOnlyMember() {
		// Only a cancellation gets here; nobody else decides the key, so it is final at once.
		stored.confirmed = true
		return Answer{Outcome: cancelledOutcome()}
	}
	ticket := shard.keeper.ticket()
	added := &attempt{key: key.text, submission: submission, tickets: []uint64{ticket}}
	shard.attempts[key.text] = added
	if !shard.requestWitness(added, stored, now, effects) {
		shard.abandon(added, stored)
		return unknownAnswer(detailNoWitness)
	}
	return AwaitWitness{Ticket: ticket}
}

// requestWitness sends the record to the next witness; it returns false if none is left.
func (shard *shard) requestWitness(attempt *attempt, stored *record, now time.Time, effects *effects) bool {
	witness, found := shard.nextWitness(attempt)
	if !found {
		return false
	}
	shard.sequence++
	stored.view, stored.sequence, stored.holder = shard.history.number(), shard.sequence, shard.self()
	attempt.witness, attempt.awaitsView = witness, false
	attempt.tried = append(attempt.tried, witness.Incarnation)
	attempt.requests++
	attempt.deadline = now.Add(shard.keeper.limits.AckTimeout)
	shard.scheduleBy(attempt.deadline)
	effects.send(witness, Record{Key: attempt.key, Digest: stored.digest, View: stored.view, State: stored.state, Sequence: stored.sequence})
	return true
}

// nextWitness returns the first member in rendezvous order that is neither tried nor suspected; if all
// are suspected, the suspicion may be wrong and they are tried all the same.
func (shard *shard) nextWitness(attempt *attempt) (Member, bool) {
	current := shard.history.current
	others := current.rendezvousOrder[shard.slice][1:]
	if attempt.requests >= min(maxRequests, witnessRounds*len(others)) {
		return Member{}, false
	}
	var fallback *Member
	for _, index := range others {
		member := &current.view.Members[index]
		if slices.Contains(attempt.tried, member.Incarnation) {
			continue
		}
		if !shard.keeper.suspected(member.Incarnation) {
			return *member, true
		}
		if fallback == nil {
			fallback = member
		}
	}
	if len(attempt.tried) > 0 {
		// Every unsuspected member was tried once: the second round asks them in the same order.
		attempt.tried = attempt.tried[:0]
		for _, index := range others {
			if member := current.view.Members[index]; !shard.keeper.suspected(member.Incarnation) {
				return member, true
			}
		}
	}
	if fallback == nil {
		return Member{}, false
	}
	return *fallback, true
}

// retry withdraws the attempt from its witness and asks the next one, or gives up.
func (shard *shard) retry(attempt *attempt, now time.Time, effects *effects) {
	stored := shard.records[attempt.key]
	shard.withdraw(attempt, stored, effects)
	if shard.requestWitness(attempt, stored, now, effects) {
		return
	}
	shard.abandon(attempt, stored)
	if stored.state == StatePending && attempt.fullRefusals == attempt.requests {
		// No member has room: the job is refused for the same reason as with a full table of its owner.
		refused := dispatcher.NewRefused(dispatcher.ReasonOverload, detailFull, "", now.Add(fullTableRetryDelay))
		shard.keeper.confirmer.requeue(shard.refusal(Key{}, attempt.submission, refused, attempt.tickets, now), now, effects)
		return
	}
	shard.failAttempt(attempt, detailNoWitness, false, effects)
}

// withdraw frees the witness of a record that will not start; a cancellation stays true and needs none.
func (shard *shard) withdraw(attempt *attempt, stored *record, effects *effects) {
	if stored.state == StatePending {
		effects.send(attempt.witness, Withdraw{Key: attempt.key, View: stored.view, Sequence: stored.sequence})
	}
}

// abandon ends an attempt without an acknowledgement. A cancellation stays: its record may be at a witness,
// and a later start would make that record a false "not run".
func (shard *shard) abandon(attempt *attempt, stored *record) {
	delete(shard.attempts, attempt.key)
	if stored.state == StatePending {
		shard.dropRecord(attempt.key)
	}
}

// grant ends an attempt whose record is replicated.
func (shard *shard) grant(attempt *attempt, stored *record, effects *effects) {
	delete(shard.attempts, attempt.key)
	stored.witness = attempt.witness.Incarnation
	if stored.state == StateCancelled {
		stored.confirmed = true
		for _, ticket := range attempt.tickets {
			effects.emit(CancelConfirmed{Key: attempt.key, Ticket: ticket})
		}
		return
	}
	stored.state = StateStarted
	effects.emit(StartGranted{Key: attempt.key, Ticket: attempt.tickets[0]})
}

func (shard *shard) receiveAck(from string, ack RecordAck, effects *effects) {
	attempt, stored := shard.matchAttempt(from, ack.Key, ack.View, ack.Sequence)
	if attempt != nil {
		shard.grant(attempt, stored, effects)
	}
}

// matchAttempt returns the attempt that an answer belongs to. An answer to an earlier attempt must not count: its
// record has been withdrawn.
func (shard *shard) matchAttempt(from, key string, view int64, sequence uint64) (*attempt, *record) {
	attempt, stored := shard.attempts[key], shard.records[key]
	if attempt == nil || stored == nil || attempt.witness.Incarnation != from || stored.sequence != sequence || stored.view != view {
		return nil, nil
	}
	return attempt, stored
}

func (shard *shard) receiveRefused(from string, refused RecordRefused, now time.Time, effects *effects) {
	attempt, _ := shard.matchAttempt(from, refused.Key, refused.View, refused.Sequence)
	if attempt == nil {
		return
	}
	if refused.Current > refused.View {
		// The log holds a later view; the attempt continues in it, or goes to its owner.
		attempt.awaitsView, attempt.deadline = true, now.Add(shard.keeper.limits.SyncTimeout)
		return
	}
	if refused.Full {
		attempt.fullRefusals++
	}
	shard.retry(attempt, now, effects)
}

// receiveRecord stores a witness's copy. A witness that has not read the owner's view yet may store it too:
// it hands the copy over when it adopts a later view, and refuses only what is below its own.
func (shard *shard) receiveRecord(from Member, key Key, request Record, now time.Time, effects *effects) {
	refused := RecordRefused{Key: request.Key, View: request.View, Sequence: request.Sequence, Current: shard.history.number()}
	known := shard.records[request.Key]
	switch {
	case request.View < 0, refused.Current > request.View:
	case refused.Current == request.View && shard.owner().Incarnation != from.Incarnation:
	case known == nil && shard.keeper.tableFull():
		refused.Full = true
	case known != nil && shard.supersedes(known, from.Incarnation, request):
	default:
		shard.putRecord(request.Key, &record{digest: request.Digest, view: request.View, sequence: request.Sequence, state: request.State, holder: from.Incarnation})
		if request.State == StateCancelled {
			shard.expireLater(key, now.Add(shard.keeper.limits.Retention))
		}
		effects.send(from, RecordAck{Key: request.Key, View: request.View, Sequence: request.Sequence})
		return
	}
	effects.send(from, refused)
}

// supersedes says that the known record must not be replaced by the asked one.
func (shard *shard) supersedes(known *record, from string, request Record) bool {
	if known.holder == from && known.view == request.View {
		// A message that was overtaken by a later attempt of the same owner.
		return known.sequence > request.Sequence
	}
	return shard.attempts[request.Key] != nil || known.view > request.View || known.holder == shard.self() && known.state >= StateStarted
}

func (shard *shard) receiveWithdraw(from string, withdraw Withdraw) {
	known := shard.records[withdraw.Key]
	if known != nil && known.state == StatePending && known.holder == from && known.view == withdraw.View && known.sequence == withdraw.Sequence {
		shard.dropRecord(withdraw.Key)
	}
}
