package keeper

import (
	"maps"
	"math"
	"slices"
	"time"
)

// expiryQueue holds the expiry times of records in the order in which they were set. All delays but those of orphaned
// records and solo keys are equal, so that the queue is nearly sorted; an entry behind a later one waits for it.
type expiryQueue struct {
	entries []expiry
	head    int
}

type expiry struct {
	key  string
	time int64
}

func (queue *expiryQueue) push(key string, at int64) {
	queue.entries = append(queue.entries, expiry{key, at})
}

// pop removes and returns the first entry if it is due.
func (queue *expiryQueue) pop(now int64) (expiry, bool) {
	if queue.head == len(queue.entries) || queue.entries[queue.head].time > now {
		return expiry{}, false
	}
	due := queue.entries[queue.head]
	queue.entries[queue.head] = expiry{}
	queue.head++
	if queue.head*2 > len(queue.entries) {
		// Moving the rest when more than half is empty costs constant time per entry.
		queue.entries = append(queue.entries[:0:0], queue.entries[queue.head:]...)
		queue.head = 0
	}
	return due, true
}

// expireLater sets the expiry time of the record of a plain or solo key; the record of an issued key is dropped by the
// expiry floor of a view instead.
func (sliceState *sliceState) expireLater(key Key, at time.Time) {
	if key.form == IssuedKey {
		return
	}
	if key.form == SoloKey {
		// A solo key may start in its own generation and the next one; its record must outlive both.
		at = at.Add(sliceState.keeper.limits.Retention)
	}
	sliceState.records[key.text].expires = at.UnixNano()
	sliceState.expirations.push(key.text, at.UnixNano())
	sliceState.scheduleBy(at)
}

// HandleDeadlines acts on every deadline up to now: it repeats messages, asks other witnesses, ends attempts without an
// answer and drops expired records. The server calls it every few milliseconds.
func (keeper *Keeper) HandleDeadlines(now time.Time) ([]Event, []Outgoing) {
	var effects effects
	requests := map[string]*SyncRequest{}
	for _, sliceState := range keeper.sliceStates {
		if sliceState.nextDeadline.Load() > now.UnixNano() {
			continue
		}
		number, missing := sliceState.handleDeadlines(now, &effects)
		for _, member := range missing {
			addRequest(requests, member, number, sliceState.slice)
		}
	}
	keeper.sendRequests(requests, &effects)
	keeper.confirmer.handleDeadlines(now, &effects)
	keeper.outbox.handleDeadlines(now, &effects)
	keeper.repeatAnnouncement(now, &effects)
	return effects.events, effects.outgoing
}

// handleDeadlines acts on the deadlines of the slice up to now. It returns the number of the view and the incarnations
// to which a sync request must be sent again.
func (sliceState *sliceState) handleDeadlines(now time.Time, effects *effects) (int64, []string) {
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	for {
		due, found := sliceState.expirations.pop(now.UnixNano())
		if !found {
			break
		}
		if stored := sliceState.records[due.key]; stored != nil && stored.expires == due.time && sliceState.attempts[due.key] == nil {
			sliceState.dropRecord(due.key)
		}
	}
	if len(sliceState.attempts) > 0 {
		sliceState.handleAttemptDeadlines(now, effects)
	}
	var missing []string
	if sliceState.syncState != nil {
		missing = sliceState.handleSyncDeadlines(now, effects)
	}
	sliceState.reschedule()
	return sliceState.history.number(), missing
}

// reschedule sets nextDeadline to the earliest deadline of the slice.
func (sliceState *sliceState) reschedule() {
	next := int64(math.MaxInt64)
	if head := sliceState.expirations.head; head < len(sliceState.expirations.entries) {
		next = sliceState.expirations.entries[head].time
	}
	for _, attempt := range sliceState.attempts {
		next = min(next, attempt.deadline.UnixNano())
	}
	if sliceState.syncState != nil {
		next = min(next, sliceState.syncState.resendAt.UnixNano())
	}
	sliceState.nextDeadline.Store(next)
}

func (sliceState *sliceState) handleAttemptDeadlines(now time.Time, effects *effects) {
	for _, text := range slices.Sorted(maps.Keys(sliceState.attempts)) {
		attempt := sliceState.attempts[text]
		switch {
		case now.Before(attempt.deadline):
		case attempt.awaitsView:
			// The later view that a member has adopted could not be read from the log in time.
			sliceState.withdraw(attempt, sliceState.records[text], effects)
			sliceState.abandon(attempt, sliceState.records[text])
			sliceState.failAttempt(attempt, detailNoWitness, false, effects)
		default:
			sliceState.retry(attempt, now, effects)
		}
	}
}
