package keeper

import (
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// refusal is a decision to refuse a job that has to be confirmed before callers are answered.
type refusal struct {
	submission Submission
	refused    dispatcher.Refused
	tickets    []uint64
	decidedAt  time.Time
	// view is the view in which the refusal was decided.
	view int64
	// exempt is set if no other instance can decide the key, so that no confirmation is needed.
	exempt bool
}

// Refuse refuses a submission that has not been granted a start, for example because of overload, a deadline that
// passed in the queue or an unknown kind. A pending attempt for the same job ends, and all its tickets get the same
// event.
func (keeper *Keeper) Refuse(submission Submission, refused dispatcher.Refused, now time.Time) (Decision, []Outgoing) {
	key, decision := keeper.parse(submission.Key, submission.Forwarded)
	if decision != nil {
		return decision, nil
	}
	var effects effects
	decision, refusal := keeper.sliceStates[key.slice].refuse(key, submission, refused, now, &effects)
	return keeper.confirm(decision, refusal, now, &effects)
}

func (sliceState *sliceState) refuse(key Key, submission Submission, refused dispatcher.Refused, now time.Time, effects *effects) (Decision, *refusal) {
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	stored, pending := sliceState.lookUp(key, now), sliceState.attempts[key.text]
	if pending != nil && stored.state == StatePending && stored.digest == submission.Digest {
		sliceState.withdraw(pending, stored, effects)
		sliceState.abandon(pending, stored)
		return nil, sliceState.refusal(key, submission, refused, pending.tickets, now)
	}
	result := sliceState.evaluate(key, submission, now, effects)
	if result.decision != nil {
		return result.decision, nil
	}
	return nil, sliceState.refusal(key, submission, refused, nil, now)
}

// refusal returns a refusal decided now in the current view.
func (sliceState *sliceState) refusal(key Key, submission Submission, refused dispatcher.Refused, tickets []uint64, now time.Time) *refusal {
	return &refusal{
		submission: submission, refused: refused, tickets: tickets, decidedAt: now, view: sliceState.history.number(),
		exempt: key.form == SoloKey || sliceState.isOnlyMember(),
	}
}

// confirm returns the decision and the messages to send; a refusal, if there is one, is passed to the confirmer for its
// decision.
func (keeper *Keeper) confirm(decision Decision, refusal *refusal, now time.Time, effects *effects) (Decision, []Outgoing) {
	if refusal != nil {
		decision = keeper.confirmer.add(refusal, now, effects)
	}
	return decision, effects.outgoing
}

// confirmer confirms refusals in batches: one Confirm and its answer serve all refusals that were decided before it was
// sent, and at most one Confirm is in flight.
type confirmer struct {
	keeper *Keeper

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	waiting  []*refusal
	inFlight []*refusal
	sequence uint64
	member   string
	requests int
	deadline time.Time
	// awaitsView is set if a member has adopted a later view: the batch waits until this instance has read it.
	awaitsView bool
}

// add queues a refusal. One that needs no confirmation is answered at once.
func (confirmer *confirmer) add(added *refusal, now time.Time, effects *effects) Decision {
	if added.exempt {
		return Answer{Outcome: added.refused}
	}
	ticket := confirmer.keeper.ticket()
	added.tickets = append(added.tickets, ticket)
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	if added.view != confirmer.keeper.history.Load().number() {
		// A later view has been adopted since the decision. Deciding again would need the lock of the slice's state.
		return unknownAnswer(detailUnconfirmed)
	}
	confirmer.waiting = append(confirmer.waiting, added)
	confirmer.sendNextBatch(now, effects)
	return AwaitConfirmation{Ticket: ticket}
}

// sendNextBatch sends the waiting refusals as the next batch if none is in flight.
func (confirmer *confirmer) sendNextBatch(now time.Time, effects *effects) {
	if len(confirmer.inFlight) > 0 || len(confirmer.waiting) == 0 {
		return
	}
	confirmer.inFlight, confirmer.waiting, confirmer.requests = confirmer.waiting, nil, 0
	confirmer.sendConfirm(now, effects)
}

// sendConfirm asks the next member to confirm the batch in flight. If enough members have been asked without success,
// the batch fails.
func (confirmer *confirmer) sendConfirm(now time.Time, effects *effects) {
	history := confirmer.keeper.history.Load()
	for _, refusal := range confirmer.inFlight {
		if refusal.view != history.number() {
			// A confirmation in a later view proves nothing about this refusal. Adopt decides the batch again.
			return
		}
	}
	candidates := confirmer.keeper.candidates(history)
	if confirmer.requests >= min(maxRequests, witnessRounds*len(candidates)) {
		confirmer.failBatch(now, effects)
		return
	}
	confirmer.sequence++
	confirmer.requests++
	member := candidates[confirmer.sequence%uint64(len(candidates))]
	confirmer.member, confirmer.awaitsView = member.Incarnation, false
	confirmer.deadline = now.Add(confirmer.keeper.limits.AckTimeout)
	effects.send(member, Confirm{View: history.number(), Sequence: confirmer.sequence})
}

// failBatch reports the batch in flight as unconfirmed and sends the next one.
func (confirmer *confirmer) failBatch(now time.Time, effects *effects) {
	for _, refusal := range confirmer.inFlight {
		refusal.emitUnconfirmed(effects)
	}
	confirmer.inFlight = nil
	confirmer.sendNextBatch(now, effects)
}

func (refusal *refusal) emitUnconfirmed(effects *effects) {
	for _, ticket := range refusal.tickets {
		effects.emit(RefusalUnconfirmed{Key: refusal.submission.Key, Ticket: ticket, Outcome: dispatcher.NewUnknown(detailUnconfirmed)})
	}
}

func (refusal *refusal) emitConfirmed(effects *effects) {
	for _, ticket := range refusal.tickets {
		effects.emit(RefusalConfirmed{Key: refusal.submission.Key, Ticket: ticket, Refusal: refusal.refused, Decided: refusal.decidedAt})
	}
}

// receiveConfirm answers for all slices of this instance. Keeper.history is stored before any slice adopts it, so once
// a slice is served in a later view, confirmations of the earlier one are refused. A member that is still in an earlier
// view confirms too, because it has not adopted a later one.
func (keeper *Keeper) receiveConfirm(from Member, confirm Confirm, effects *effects) {
	if current := keeper.history.Load().number(); current > confirm.View {
		effects.send(from, ConfirmRefused{Sequence: confirm.Sequence, Current: current})
		return
	}
	effects.send(from, ConfirmAck(confirm))
}

func (confirmer *confirmer) receiveAck(from string, ack ConfirmAck, now time.Time, effects *effects) {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	if len(confirmer.inFlight) == 0 || ack.Sequence != confirmer.sequence || from != confirmer.member {
		return
	}
	for _, refusal := range confirmer.inFlight {
		refusal.emitConfirmed(effects)
	}
	confirmer.inFlight = nil
	confirmer.sendNextBatch(now, effects)
}

func (confirmer *confirmer) receiveRefused(from string, refused ConfirmRefused, now time.Time) {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	if len(confirmer.inFlight) > 0 && refused.Sequence == confirmer.sequence && from == confirmer.member {
		confirmer.awaitsView, confirmer.deadline = true, now.Add(confirmer.keeper.limits.SyncTimeout)
	}
}

// handleDeadlines asks another member if one has not answered. The batch fails if the later view that a member reported
// has not been read in time.
func (confirmer *confirmer) handleDeadlines(now time.Time, effects *effects) {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	switch {
	case len(confirmer.inFlight) == 0 || now.Before(confirmer.deadline):
	case confirmer.awaitsView:
		confirmer.failBatch(now, effects)
	default:
		confirmer.sendConfirm(now, effects)
	}
}

// takeAll removes and returns all refusals, in flight or waiting, to be decided again in a new view.
func (confirmer *confirmer) takeAll() []*refusal {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	taken := append(confirmer.inFlight, confirmer.waiting...)
	confirmer.inFlight, confirmer.waiting = nil, nil
	return taken
}

// reconsiderRefusals decides refusals of an earlier view again in the current one.
func (keeper *Keeper) reconsiderRefusals(refusals []*refusal, now time.Time, effects *effects) {
	for _, earlier := range refusals {
		key, err := ParseKey(earlier.submission.Key)
		if err != nil {
			continue
		}
		again, outcome := keeper.sliceStates[key.slice].reconsiderRefusal(key, earlier, now)
		switch {
		case again != nil && again.exempt:
			again.emitConfirmed(effects)
		case again != nil:
			keeper.confirmer.requeue(again, now, effects)
		case outcome != nil:
			for _, ticket := range earlier.tickets {
				effects.emit(RefusalSuperseded{Key: earlier.submission.Key, Ticket: ticket, Outcome: outcome})
			}
		default:
			earlier.emitUnconfirmed(effects)
		}
	}
}

// reconsiderRefusal returns the refusal as decided in the current view, or the outcome that replaces it, or neither. It
// neither joins nor starts an attempt, because the server has only the tickets of the earlier decision.
func (sliceState *sliceState) reconsiderRefusal(key Key, earlier *refusal, now time.Time) (*refusal, dispatcher.Outcome) {
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	stored := sliceState.lookUp(key, now)
	switch {
	case stored != nil && stored.outcome != nil && stored.digest == earlier.submission.Digest:
		return nil, stored.outcome
	case sliceState.ownershipDecision(key, true) != nil:
		return nil, nil
	case stored != nil && stored.state == StateCancelled && stored.confirmed && key.form != PlainKey:
		return nil, cancelledOutcome()
	case stored != nil && stored.state == StateCancelled && stored.confirmed:
		return sliceState.refusal(key, earlier.submission, earlier.refused, earlier.tickets, now), nil
	case stored == nil && sliceState.uncertaintyReason(key, now) == "":
		return sliceState.refusal(key, earlier.submission, earlier.refused, earlier.tickets, now), nil
	case stored != nil && stored.state >= StateStarted && stored.digest != earlier.submission.Digest:
		return sliceState.refusal(key, earlier.submission, earlier.refused, earlier.tickets, now), nil
	default:
		return nil, nil
	}
}

// requeue queues a refusal whose tickets callers already hold.
func (confirmer *confirmer) requeue(again *refusal, now time.Time, effects *effects) {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	confirmer.waiting = append(confirmer.waiting, again)
	confirmer.sendNextBatch(now, effects)
}
