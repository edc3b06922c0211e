package keeper

import (
	"maps"
	"math"
	"slices"
	"time"
)

// expiryQueue holds the drops to come. All but those of lost records have the same delay, so that the queue
// is nearly sorted; a drop behind a later one waits for it.
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

// pop returns the first entry if it is due.
func (queue *expiryQueue) pop(now int64) (expiry, bool) {
	if queue.head == len(queue.entries) || queue.entries[queue.head].time > now {
		return expiry{}, false
	}
	due := queue.entries[queue.head]
	queue.entries[queue.head] = expiry{}
	queue.head++
	if queue.head*2 > len(queue.entries) {
		// Moving the rest once half is empty costs constant time per entry.
		queue.entries = append(queue.entries[:0:0], queue.entries[queue.head:]...)
		queue.head = 0
	}
	return due, true
}

// expireLater sets the time of the drop for the record of a plain or solo key; an issued key's record is
// dropped by a view's expiry-floor instead.
func (shard *shard) expireLater(key Key, at time.Time) {
	if key.form == IssuedKey {
		return
	}
	if key.form == SoloKey {
		// The record outlives the generations in which the key may start.
		at = at.Add(shard.keeper.limits.Retention)
	}
	shard.records[key.text].expires = at.UnixNano()
	shard.expirations.push(key.text, at.UnixNano())
	shard.scheduleBy(at)
}

// HandleDeadlines acts on every deadline up to now: it resends, changes witness, gives up, and drops expired records.
// The server calls it every few milliseconds.
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

// handleDeadlines returns the members to ask again for the slice's records.
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

// reschedule sets the time of the next look at the shard.
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
			// The log that holds the later view cannot be read.
			shard.withdraw(attempt, shard.records[text], effects)
			shard.abandon(attempt, shard.records[text])
			shard.failAttempt(attempt, detailNoWitness, false, effects)
		default:
			shard.retry(attempt, now, effects)
		}
	}
}
