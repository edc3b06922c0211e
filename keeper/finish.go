package keeper

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// outcomesPerBatch keeps a batch with the longest keys well under the 1 MiB limit of a frame.
const outcomesPerBatch = 2048

// Finish stores the outcome of a job whose start was granted: Complete, Failed or Unknown. Only the first outcome of a
// job counts.
func (keeper *Keeper) Finish(text string, outcome dispatcher.Outcome, now time.Time) ([]Event, []Outgoing) {
	key, err := ParseKey(text)
	if err != nil {
		return nil, nil
	}
	finished, recipients := keeper.sliceStates[key.slice].finish(key, outcome, now)
	if finished == nil {
		return nil, nil
	}
	for _, member := range recipients {
		keeper.outbox.add(member, *finished, now)
	}
	return []Event{OutcomeKnown{Key: text, Outcome: outcome}}, nil
}

// finish returns the outcome to send and the other incarnations that hold a record of the job: the witness and, if the
// slice has another owner now, that owner.
func (sliceState *sliceState) finish(key Key, outcome dispatcher.Outcome, now time.Time) (*RecordOutcome, []string) {
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	stored := sliceState.records[key.text]
	if stored == nil || stored.holder != sliceState.self() || stored.state != StateStarted {
		return nil, nil
	}
	stored.state, stored.outcome = StateFailed, outcome
	if _, complete := outcome.(dispatcher.Complete); complete {
		stored.state = StateFinished
	}
	sliceState.answers.add(stored)
	sliceState.expireLater(key, now.Add(sliceState.keeper.limits.Retention))
	var recipients []string
	if stored.witness != "" {
		recipients = append(recipients, stored.witness)
	}
	if key.form != SoloKey && !sliceState.owns() && sliceState.owner().Incarnation != stored.witness {
		recipients = append(recipients, sliceState.owner().Incarnation)
	}
	return &RecordOutcome{Key: key.text, View: stored.view, Sequence: stored.sequence, State: stored.state}, recipients
}

// receiveOutcome sets the final state in a copy of the record.
func (sliceState *sliceState) receiveOutcome(key Key, ended RecordOutcome, now time.Time) {
	stored := sliceState.records[ended.Key]
	if stored == nil || stored.holder == sliceState.self() || stored.view != ended.View || stored.sequence != ended.Sequence {
		return
	}
	if stored.state < StateFinished && (ended.State == StateFinished || ended.State == StateFailed) {
		stored.state = ended.State
		sliceState.expireLater(key, now.Add(sliceState.keeper.limits.Retention))
	}
}

// outbox batches the outcomes of jobs for the members that hold copies of their records. A copy that never receives the
// outcome would never be dropped, so each batch is repeated until it is acknowledged or its receiver leaves the view.
type outbox struct {
	keeper *Keeper

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	queues   map[string]*outcomeQueue
	sequence uint64
}

// outcomeQueue holds the outcomes to send to one member: those waiting, and the batch in flight with its sequence
// number.
type outcomeQueue struct {
	waiting  []RecordOutcome
	inFlight []RecordOutcome
	sequence uint64
	dueAt    time.Time
}

func (outbox *outbox) add(member string, ended RecordOutcome, now time.Time) {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	queue := outbox.queues[member]
	if queue == nil {
		queue = &outcomeQueue{dueAt: now.Add(outbox.keeper.limits.OutcomeInterval)}
		outbox.queues[member] = queue
	}
	queue.waiting = append(queue.waiting, ended)
}

func (outbox *outbox) handleDeadlines(now time.Time, effects *effects) {
	history := outbox.keeper.history.Load()
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	if len(outbox.queues) == 0 {
		return
	}
	for _, incarnation := range slices.Sorted(maps.Keys(outbox.queues)) {
		queue := outbox.queues[incarnation]
		if now.Before(queue.dueAt) {
			continue
		}
		member, found := Member{}, false
		if history != nil {
			member, found = findMember(history.current.view.Members, incarnation)
		}
		if !found || len(queue.waiting)+len(queue.inFlight) == 0 {
			delete(outbox.queues, incarnation)
			continue
		}
		outbox.sendBatch(member, queue, now, effects)
	}
}

func (outbox *outbox) sendBatch(member Member, queue *outcomeQueue, now time.Time, effects *effects) {
	if len(queue.inFlight) == 0 {
		count := min(len(queue.waiting), outcomesPerBatch)
		queue.inFlight, queue.waiting = queue.waiting[:count:count], queue.waiting[count:]
		outbox.sequence++
		queue.sequence = outbox.sequence
	}
	queue.dueAt = now.Add(max(outbox.keeper.limits.OutcomeInterval, outbox.keeper.limits.AckTimeout))
	effects.send(member, OutcomeBatch{Sequence: queue.sequence, Outcomes: queue.inFlight})
}

func (outbox *outbox) receiveAck(from string, ack OutcomeAck, now time.Time) {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	if queue := outbox.queues[from]; queue != nil && queue.sequence == ack.Sequence && len(queue.inFlight) > 0 {
		queue.inFlight, queue.dueAt = nil, now.Add(outbox.keeper.limits.OutcomeInterval)
	}
}
