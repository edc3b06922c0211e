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
func (shard *shard) expireLater(key Key, at time.Time) {
	if key.form == IssuedKey {
		return
	}
	if key.form == SoloKey {
		// A solo key may start in its own generation and the next one; its record must outlive both.
		at = at.Add(shard.keeper.limits.Retention)
	}
	shard.records[key.text].expires = at.UnixNano()
	shard.expirations.push(key.text, at.UnixNano())
	shard.scheduleBy(at)
}

// HandleDeadlines acts on every deadline up to now: it repeats messages, asks other witnesses, ends attempts without an
// answer and drops expired records. The server calls it every few milliseconds.
func (keeper *Keeper) HandleDeadlines(now time.Time) ([]Event, []Outgoing) {
	var effects effects
	requests := map[string]*SyncRequest{}
	for _, shard := range keeper.shards {
		if shard.nextDeadline.Load() > now.UnixNano() {
			continue
		}
		number, missing := shard.handleDeadlines(now, &effects)
		for _, member := range missing {
			addRequest(requests, member, number, shard.slice)
		}
	}
	keeper.sendRequests(requests, &effects)
	keeper.confirmer.handleDeadlines(now, &effects)
	keeper.outbox.handleDeadlines(now, &effects)
	keeper.repeatAnnouncement(now, &effects)
	return effects.events, effects.outgoing
}

// handleDeadlines acts on the deadlines of the shard up to now. It returns the number of the view and the incarnations
// to which a sync request must be sent again.
func (shard *shard) handleDeadlines(now time.Time, effects *effects) (int64, []string) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	for {
		due, found := shard.expirations.pop(now.UnixNano())
		if !found {
			break
		}
		if stored := shard.records[due.key]; stored != nil && stored.expires == due.time && shard.attempts[due.key] == nil {
			shard.dropRecord(due.key)
		}
	}
	if len(shard.attempts) > 0 {
		shard.handleAttemptDeadlines(now, effects)
	}
	var missing []string
	if shard.syncState != nil {
		missing = shard.handleSyncDeadlines(now, effects)
	}
	shard.reschedule()
	return shard.history.number(), missing
}

// reschedule sets nextDeadline to the earliest deadline of the shard.
func (shard *shard) reschedule() {
	next := int64(math.MaxInt64)
	if head := shard.expirations.head; head < len(shard.expirations.entries) {
		next = shard.expirations.entries[head].time
	}
	for _, attempt := range shard.attempts {
		next = min(next, attempt.deadline.UnixNano())
	}
	if shard.syncState != nil {
		next = min(next, shard.syncState.resendAt.UnixNano())
	}
	shard.nextDeadline.Store(next)
}

func (shard *shard) handleAttemptDeadlines(now time.Time, effects *effects) {
	for _, text := range slices.Sorted(maps.Keys(shard.attempts)) {
		attempt := shard.attempts[text]
		switch {
		case now.Before(attempt.deadline):
		case attempt.awaitsView:
			// The later view that a member has adopted could not be read from the log in time.
			shard.withdraw(attempt, shard.records[text], effects)
			shard.abandon(attempt, shard.records[text])
			shard.failAttempt(attempt, detailNoWitness, false, effects)
		default:
			shard.retry(attempt, now, effects)
		}
	}
}
