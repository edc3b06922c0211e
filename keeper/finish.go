package keeper

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// outcomesPerBatch keeps a batch of the longest keys well under the 1 MiB frame.
const outcomesPerBatch = 2048

// Finish stores the outcome of a job whose start was granted: Complete, Failed or Unknown. The first outcome
// of a job counts; others are ignored.
func (keeper *Keeper) Finish(text string, outcome dispatcher.Outcome, now time.Time) ([]Event, []Outgoing) {
	key, err := ParseKey(text)
	if err != nil {
		return nil, nil
	}
	finished, recipients := keeper.shards[key.slice].finish(key, outcome, now)
	if finished == nil {
		return nil, nil
	}
	for _, member := range recipients {
		keeper.outbox.add(member, *finished, now)
	}
	return []Event{OutcomeKnown{Key: text, Outcome: outcome}}, nil
}

// finish returns the outcome to send and the incarnations that hold a record of the job.
func (shard *shard) finish(key Key, outcome dispatcher.Outcome, now time.Time) (*RecordOutcome, []string) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	stored := shard.records[key.text]
	if stored == nil || stored.holder != shard.self() || stored.state != StateStarted {
		return nil, nil
	}
	stored.state, stored.outcome = StateFailed, outcome
	if _, complete := outcome.(dispatcher.Complete); complete {
		stored.state = StateFinished
	}
	shard.held.hold(stored)
	shard.expireLater(key, now.Add(shard.keeper.limits.Retention))
	var recipients []string
	if stored.witness != "" {
		recipients = append(recipients, stored.witness)
	}
	if key.form != SoloKey && !shard.owns() && shard.owner().Incarnation != stored.witness {
		recipients = append(recipients, shard.owner().Incarnation)
	}
	return &RecordOutcome{Key: key.text, View: stored.view, Sequence: stored.sequence, State: stored.state}, recipients
}

// receiveOutcome settles a copy of the record.
func (shard *shard) receiveOutcome(key Key, ended RecordOutcome, now time.Time) {
	stored := shard.records[ended.Key]
	if stored == nil || stored.holder == shard.self() || stored.view != ended.View || stored.sequence != ended.Sequence {
		return
	}
	if stored.state < StateFinished && (ended.State == StateFinished || ended.State == StateFailed) {
		stored.state = ended.State
		shard.expireLater(key, now.Add(shard.keeper.limits.Retention))
	}
}

// outbox collects ended jobs for the members that hold a record of them. A copy whose end is not known
// would never be dropped, so each batch is sent until it is acknowledged or its receiver leaves the view.
type outbox struct {
	keeper *Keeper

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	trays    map[string]*tray
	sequence uint64
}

// tray holds what one member has to learn.
type tray struct {
	waiting  []RecordOutcome
	flight   []RecordOutcome
	sequence uint64
	due      time.Time
}

func (outbox *outbox) add(member string, ended RecordOutcome, now time.Time) {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	held := outbox.trays[member]
	if held == nil {
		held = &tray{due: now.Add(outbox.keeper.limits.OutcomeInterval)}
		outbox.trays[member] = held
	}
	held.waiting = append(held.waiting, ended)
}

func (outbox *outbox) expire(now time.Time, effects *effects) {
	place := outbox.keeper.place.Load()
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	if len(outbox.trays) == 0 {
		return
	}
	for _, incarnation := range slices.Sorted(maps.Keys(outbox.trays)) {
		held := outbox.trays[incarnation]
		if now.Before(held.due) {
			continue
		}
		member, found := Member{}, false
		if place != nil {
			member, found = find(place.current.view.Members, incarnation)
		}
		if !found || len(held.waiting)+len(held.flight) == 0 {
			delete(outbox.trays, incarnation)
			continue
		}
		outbox.sendTray(member, held, now, effects)
	}
}

func (outbox *outbox) sendTray(member Member, held *tray, now time.Time, effects *effects) {
	if len(held.flight) == 0 {
		count := min(len(held.waiting), outcomesPerBatch)
		held.flight, held.waiting = held.waiting[:count:count], held.waiting[count:]
		outbox.sequence++
		held.sequence = outbox.sequence
	}
	held.due = now.Add(max(outbox.keeper.limits.OutcomeInterval, outbox.keeper.limits.AckTimeout))
	effects.send(member, OutcomeBatch{Sequence: held.sequence, Outcomes: held.flight})
}

func (outbox *outbox) receiveAck(from string, ack OutcomeAck, now time.Time) {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	if held := outbox.trays[from]; held != nil && held.sequence == ack.Sequence && len(held.flight) > 0 {
		held.flight, held.due = nil, now.Add(outbox.keeper.limits.OutcomeInterval)
	}
}
