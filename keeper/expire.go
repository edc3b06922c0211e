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
	shard.expiring.push(key.text, at.UnixNano())
	shard.wake(at)
}

// HandleDeadlines acts on every deadline up to now: it resends, changes witness, gives up, and drops expired records.
// The server calls it every few milliseconds.
func (keeper *Keeper) HandleDeadlines(now time.Time) ([]Event, []Outgoing) {
	var effects effects
	requests := map[string]*SyncRequest{}
	for _, shard := range keeper.shards {
		if shard.due.Load() > now.UnixNano() {
			continue
		}
		number, missing := shard.expire(now, &effects)
		for _, member := range missing {
			addRequest(requests, member, number, shard.slice)
		}
	}
	keeper.sendRequests(requests, &effects)
	keeper.confirmer.expire(now, &effects)
	keeper.outbox.expire(now, &effects)
	keeper.announceAgain(now, &effects)
	return effects.events, effects.outgoing
}

// expire returns the members to ask again for the slice's records.
func (shard *shard) expire(now time.Time, effects *effects) (int64, []string) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	for {
		due, found := shard.expiring.pop(now.UnixNano())
		if !found {
			break
		}
		if stored := shard.records[due.key]; stored != nil && stored.expires == due.time && shard.attempts[due.key] == nil {
			shard.drop(due.key)
		}
	}
	if len(shard.attempts) > 0 {
		shard.expireAttempts(now, effects)
	}
	var missing []string
	if shard.syncing != nil {
		missing = shard.expireSync(now, effects)
	}
	shard.schedule()
	return shard.place.number(), missing
}

// schedule sets the time of the next look at the shard.
func (shard *shard) schedule() {
	next := int64(math.MaxInt64)
	if head := shard.expiring.head; head < len(shard.expiring.entries) {
		next = shard.expiring.entries[head].time
	}
	for _, attempt := range shard.attempts {
		next = min(next, attempt.deadline.UnixNano())
	}
	if shard.syncing != nil {
		next = min(next, shard.syncing.resend.UnixNano())
	}
	shard.due.Store(next)
}

func (shard *shard) expireAttempts(now time.Time, effects *effects) {
	for _, text := range slices.Sorted(maps.Keys(shard.attempts)) {
		attempt := shard.attempts[text]
		switch {
		case now.Before(attempt.deadline):
		case attempt.held:
			// The log that holds the later view cannot be read.
			shard.withdraw(attempt, shard.records[text], effects)
			shard.abandon(attempt, shard.records[text])
			shard.loseAttempt(attempt, detailNoWitness, false, effects)
		default:
			shard.retry(attempt, now, effects)
		}
	}
}
