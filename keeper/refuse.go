package keeper

import (
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// refusal is a decision to refuse that waits for its confirmation.
type refusal struct {
	submission Submission
	refused    dispatcher.Refused
	tickets    []uint64
	decided    time.Time
	// view is the view in which the refusal was decided.
	view int64
	// exempt says that nobody else can decide the key, so that no confirmation is needed.
	exempt bool
}

// Refuse releases a refusal of a submission that has not been granted a start: overload, a deadline that
// passed in the queue, an unknown kind. A pending attempt for the same job ends with it, and every ticket of
// that attempt gets the same event.
func (keeper *Keeper) Refuse(submission Submission, refused dispatcher.Refused, now time.Time) (Decision, []Outgoing) {
	key, decision := keeper.parse(submission.Key, submission.Forwarded)
	if decision != nil {
		return decision, nil
	}
	var effects effects
	decision, refusal := keeper.shards[key.slice].refuse(key, submission, refused, now, &effects)
	return keeper.confirm(decision, refusal, now, &effects)
}

func (shard *shard) refuse(key Key, submission Submission, refused dispatcher.Refused, now time.Time, effects *effects) (Decision, *refusal) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	stored, pending := shard.lookUp(key, now), shard.attempts[key.text]
	if pending != nil && stored.state == StatePending && stored.digest == submission.Digest {
		shard.withdraw(pending, stored, effects)
		shard.abandon(pending, stored)
		return nil, shard.refusal(key, submission, refused, pending.tickets, now)
	}
	verdict := shard.judge(key, submission, now, effects)
	if verdict.decision != nil {
		return verdict.decision, nil
	}
	return nil, shard.refusal(key, submission, refused, nil, now)
}

func (shard *shard) refusal(key Key, submission Submission, refused dispatcher.Refused, tickets []uint64, now time.Time) *refusal {
	return &refusal{
		submission: submission, refused: refused, tickets: tickets, decided: now, view: shard.place.number(),
		exempt: key.form == SoloKey || shard.alone(),
	}
}

// confirm returns the decision, or, if there is a refusal, how its confirmation goes on.
func (keeper *Keeper) confirm(decision Decision, refusal *refusal, now time.Time, effects *effects) (Decision, []Outgoing) {
	if refusal != nil {
		decision = keeper.confirmer.add(refusal, now, effects)
	}
	return decision, effects.outgoing
}

// confirmer releases refusals in batches: one pair of messages serves all that were decided before it was
// sent, and at most one pair is in flight.
type confirmer struct {
	keeper *Keeper

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	waiting  []*refusal
	flight   []*refusal
	sequence uint64
	member   string
	tries    int
	deadline time.Time
	// held says that a member has adopted a later view: the batch waits until this instance has read it.
	held bool
}

// add queues a refusal; the decision is final for one that needs no confirmation.
func (confirmer *confirmer) add(added *refusal, now time.Time, effects *effects) Decision {
	if added.exempt {
		return Answer{Outcome: added.refused}
	}
	ticket := confirmer.keeper.ticket()
	added.tickets = append(added.tickets, ticket)
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	if added.view != confirmer.keeper.place.Load().number() {
		// A later view has been adopted since the decision; a new decision would need the slice again.
		return unknown(detailUnconfirmed)
	}
	confirmer.waiting = append(confirmer.waiting, added)
	confirmer.launch(now, effects)
	return AwaitConfirmation{Ticket: ticket}
}

// launch sends the next batch if none is in flight.
func (confirmer *confirmer) launch(now time.Time, effects *effects) {
	if len(confirmer.flight) > 0 || len(confirmer.waiting) == 0 {
		return
	}
	confirmer.flight, confirmer.waiting, confirmer.tries = confirmer.waiting, nil, 0
	confirmer.ask(now, effects)
}

// ask sends the batch in flight to the next member, or gives up.
func (confirmer *confirmer) ask(now time.Time, effects *effects) {
	place := confirmer.keeper.place.Load()
	for _, refusal := range confirmer.flight {
		if refusal.view != place.number() {
			// A confirmation in a later view proves nothing; Adopt takes the batch and decides it again.
			return
		}
	}
	others := confirmer.keeper.others(place)
	if confirmer.tries >= min(maxTries, witnessRounds*len(others)) {
		confirmer.fail(now, effects)
		return
	}
	confirmer.sequence++
	confirmer.tries++
	member := others[confirmer.sequence%uint64(len(others))]
	confirmer.member, confirmer.held = member.Incarnation, false
	confirmer.deadline = now.Add(confirmer.keeper.limits.AckTimeout)
	effects.send(member, Confirm{View: place.number(), Sequence: confirmer.sequence})
}

func (confirmer *confirmer) fail(now time.Time, effects *effects) {
	for _, refusal := range confirmer.flight {
		refusal.unconfirmed(effects)
	}
	confirmer.flight = nil
	confirmer.launch(now, effects)
}

func (refusal *refusal) unconfirmed(effects *effects) {
	for _, ticket := range refusal.tickets {
		effects.emit(RefusalUnconfirmed{Key: refusal.submission.Key, Ticket: ticket, Outcome: dispatcher.NewUnknown(detailUnconfirmed)})
	}
}

func (refusal *refusal) confirmed(effects *effects) {
	for _, ticket := range refusal.tickets {
		effects.emit(RefusalConfirmed{Key: refusal.submission.Key, Ticket: ticket, Refusal: refusal.refused, Decided: refusal.decided})
	}
}

// receiveConfirm answers for the whole instance. The keeper stores its place before any slice adopts it, so
// a slice that serves a later view has been preceded by the refusal of this confirmation. A member that is
// still in an earlier view has not adopted a later one either.
func (keeper *Keeper) receiveConfirm(from Member, confirm Confirm, effects *effects) {
	if current := keeper.place.Load().number(); current > confirm.View {
		effects.send(from, ConfirmRefused{Sequence: confirm.Sequence, Current: current})
		return
	}
	effects.send(from, ConfirmAck(confirm))
}

func (confirmer *confirmer) receiveAck(from string, ack ConfirmAck, now time.Time, effects *effects) {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	if len(confirmer.flight) == 0 || ack.Sequence != confirmer.sequence || from != confirmer.member {
		return
	}
	for _, refusal := range confirmer.flight {
		refusal.confirmed(effects)
	}
	confirmer.flight = nil
	confirmer.launch(now, effects)
}

func (confirmer *confirmer) receiveRefused(from string, refused ConfirmRefused, now time.Time) {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	if len(confirmer.flight) > 0 && refused.Sequence == confirmer.sequence && from == confirmer.member {
		confirmer.held, confirmer.deadline = true, now.Add(confirmer.keeper.limits.SyncTimeout)
	}
}

// expire asks another member when one has not answered, or gives up when no later view has been read.
func (confirmer *confirmer) expire(now time.Time, effects *effects) {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	switch {
	case len(confirmer.flight) == 0 || now.Before(confirmer.deadline):
	case confirmer.held:
		confirmer.fail(now, effects)
	default:
		confirmer.ask(now, effects)
	}
}

// take removes every refusal, so that a new view can decide them again.
func (confirmer *confirmer) take() []*refusal {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	taken := append(confirmer.flight, confirmer.waiting...)
	confirmer.flight, confirmer.waiting = nil, nil
	return taken
}

// decideAgain decides refusals of an earlier view in the current one.
func (keeper *Keeper) decideAgain(refusals []*refusal, now time.Time, effects *effects) {
	for _, earlier := range refusals {
		key, err := ParseKey(earlier.submission.Key)
		if err != nil {
			continue
		}
		again, outcome := keeper.shards[key.slice].refuseAgain(key, earlier, now)
		switch {
		case again != nil && again.exempt:
			again.confirmed(effects)
		case again != nil:
			keeper.confirmer.requeue(again, now, effects)
		case outcome != nil:
			for _, ticket := range earlier.tickets {
				effects.emit(RefusalSuperseded{Key: earlier.submission.Key, Ticket: ticket, Outcome: outcome})
			}
		default:
			earlier.unconfirmed(effects)
		}
	}
}

// refuseAgain returns the refusal decided in the current view, or the outcome that replaces it, or neither. It
// joins no attempt and starts none: the server knows only the tickets of the earlier decision.
func (shard *shard) refuseAgain(key Key, earlier *refusal, now time.Time) (*refusal, dispatcher.Outcome) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	stored := shard.lookUp(key, now)
	switch {
	case stored != nil && stored.outcome != nil && stored.digest == earlier.submission.Digest:
		return nil, stored.outcome
	case shard.standingDecision(key, true) != nil:
		return nil, nil
	case stored != nil && stored.state == StateCancelled && stored.confirmed && key.form != PlainKey:
		return nil, cancelledOutcome()
	case stored != nil && stored.state == StateCancelled && stored.confirmed:
		return shard.refusal(key, earlier.submission, earlier.refused, earlier.tickets, now), nil
	case stored == nil && shard.doubt(key, now) == "":
		return shard.refusal(key, earlier.submission, earlier.refused, earlier.tickets, now), nil
	case stored != nil && stored.state >= StateStarted && stored.digest != earlier.submission.Digest:
		return shard.refusal(key, earlier.submission, earlier.refused, earlier.tickets, now), nil
	default:
		return nil, nil
	}
}

func (confirmer *confirmer) requeue(again *refusal, now time.Time, effects *effects) {
	confirmer.mutex.Lock()
	defer confirmer.mutex.Unlock()
	confirmer.waiting = append(confirmer.waiting, again)
	confirmer.launch(now, effects)
}
