package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const detailMoved = "the slice has another owner now"

// SetEarliestOffset tells the keeper the earliest retained offset of the stream of views, before the first Adopt and
// again whenever the reader had to skip trimmed records.
func (keeper *Keeper) SetEarliestOffset(earliest int64) {
	keeper.chainMutex.Lock()
	defer keeper.chainMutex.Unlock()
	keeper.chain.open(earliest)
}

// Adopt reads one record of the stream of views; records must come in the order of their offsets. A record
// that is not valid changes nothing.
func (keeper *Keeper) Adopt(offset int64, view View, now time.Time) ([]Event, []Outgoing) {
	keeper.chainMutex.Lock()
	defer keeper.chainMutex.Unlock()
	var effects effects
	for _, place := range keeper.chain.read(offset, view) {
		keeper.adopt(place, now, &effects)
	}
	return effects.events, effects.outgoing
}

func (keeper *Keeper) adopt(place *position, now time.Time, effects *effects) {
	keeper.handed.Store(0)
	keeper.place.Store(place)
	keeper.adopted = now
	requests := map[string]*SyncRequest{}
	for _, shard := range keeper.shards {
		for _, member := range shard.adopt(place, now, effects) {
			addRequest(requests, member, place.number(), shard.slice)
		}
	}
	keeper.sendRequests(requests, effects)
	keeper.announce(place, effects)
	keeper.decideAgain(keeper.confirmer.take(), now, effects)
	keeper.answerDeferred(effects)
}

// adopt moves the slice to a later view and returns the members to ask for its records.
func (shard *shard) adopt(place *position, now time.Time, effects *effects) []string {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	stays := place.current.origin == follows && shard.owns() && shard.synced
	earlier := shard.place
	shard.place, shard.syncing = place, nil
	stays = stays && shard.owns()
	shard.forget(earlier, now)
	if stays {
		shard.serve(max(shard.floor, place.current.expiryFloor), shard.closed)
		shard.renewAttempts(now, effects)
		return nil
	}
	shard.synced = false
	shard.keeper.setServing(shard.slice, false)
	shard.loseAttempts(effects)
	if !shard.owns() {
		return nil
	}
	return shard.startSync(now, effects)
}

// serve makes this instance the deciding owner of the slice in its view.
func (shard *shard) serve(floor int64, closed bool) {
	if !shard.synced || !closed {
		shard.opens = time.Time{}
	}
	shard.synced, shard.floor, shard.closed = true, floor, closed
	shard.last = &SyncedView{View: shard.place.number(), Floor: floor, Closed: closed}
	shard.keeper.setServing(shard.slice, true)
}

func (keeper *Keeper) setServing(slice int, serving bool) {
	if serving {
		keeper.serving.Or(1 << slice)
	} else {
		keeper.serving.And(^uint64(1 << slice))
	}
}

// renewAttempts repeats the pending attempts in the new view: the old one's witnesses are sealed.
func (shard *shard) renewAttempts(now time.Time, effects *effects) {
	if len(shard.attempts) == 0 {
		return
	}
	for _, text := range slices.Sorted(maps.Keys(shard.attempts)) {
		attempt := shard.attempts[text]
		stored := shard.records[text]
		key, err := ParseKey(text)
		if err != nil {
			continue
		}
		attempt.tried, attempt.tries, attempt.fulls = nil, 0, 0
		switch {
		case shard.doubt(key, now) != "":
			shard.abandon(attempt, stored)
			shard.loseAttempt(attempt, shard.doubt(key, now), false, effects)
		case shard.alone():
			attempt.witness = Member{}
			stored.view = shard.place.number()
			shard.grant(attempt, stored, effects)
		case !shard.request(attempt, stored, now, effects):
			shard.abandon(attempt, stored)
			shard.loseAttempt(attempt, detailNoWitness, false, effects)
		}
	}
}

// loseAttempts ends every attempt, because this instance may not decide the slice any more.
func (shard *shard) loseAttempts(effects *effects) {
	if len(shard.attempts) == 0 {
		return
	}
	for _, text := range slices.Sorted(maps.Keys(shard.attempts)) {
		attempt := shard.attempts[text]
		shard.abandon(attempt, shard.records[text])
		shard.loseAttempt(attempt, detailMoved, true, effects)
	}
}

func (shard *shard) loseAttempt(attempt *attempt, detail string, resubmit bool, effects *effects) {
	for _, ticket := range attempt.tickets {
		effects.emit(AttemptFailed{Key: attempt.key, Ticket: ticket, Outcome: dispatcher.NewUnknown(detail), Resubmit: resubmit})
	}
}

// forget drops the records that the view's expiry-floor lets go, and gives those whose holder has left
// their time of expiry. It scans the table only if the view changes one of the two.
func (shard *shard) forget(earlier *position, now time.Time) {
	current := shard.place.current
	raised := earlier == nil || current.expiryFloor > earlier.current.expiryFloor
	left := earlier == nil || slices.ContainsFunc(earlier.current.view.Members, func(member Member) bool {
		return !current.answers(member.Incarnation)
	}) || len(earlier.current.view.Departing) > 0
	if !raised && !left {
		return
	}
	for text, stored := range shard.records {
		shard.age(text, stored, now)
	}
}

// age drops the record of an issued key below the expiry-floor, and lets that of a plain key expire. A holder
// that is not accounted for may still start the job, however long it has been silent; until then its plain keys
// stay.
func (shard *shard) age(text string, stored *record, now time.Time) {
	if !shard.settled(stored) {
		return
	}
	key, err := ParseKey(text)
	switch {
	case err != nil:
	case key.form == IssuedKey && key.number < shard.place.current.expiryFloor && shard.attempts[text] == nil:
		shard.drop(text)
	case key.form == PlainKey && stored.expires == 0 && stored.state < StateFinished && stored.state != StateCancelled:
		shard.lost = true
	case key.form == PlainKey && stored.expires == 0:
		shard.expireLater(key, now.Add(shard.keeper.limits.past()))
	}
}

// past returns the time after which a start of a plain key that cannot be seen any more is outside the
// promise: its job may have run for MaxRun, and the retention counts from its end.
func (limits Limits) past() time.Duration { return limits.MaxRun + limits.Retention }

// accountedView is a view in which no lower one was served any more from a time on.
type accountedView struct {
	view int64
	at   time.Time
}

// SetAdoptedByAll says that every incarnation on the instance list has adopted the view with this number, the
// current one. After the longest run and one retention period, closed slices open to plain keys, and plain keys
// of instances that have left are forgotten.
func (keeper *Keeper) SetAdoptedByAll(view int64, now time.Time) {
	if view == NoView || view != keeper.place.Load().number() {
		return
	}
	keeper.accountMutex.Lock()
	if last := len(keeper.accounted) - 1; last < 0 || keeper.accounted[last].view != view {
		keeper.accounted = append(keeper.accounted, accountedView{view, now})
	}
	keeper.accountMutex.Unlock()
	for _, shard := range keeper.shards {
		shard.account(view, now)
	}
}

func (shard *shard) account(view int64, now time.Time) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.place.number() != view {
		return
	}
	if shard.synced && shard.closed && shard.opens.IsZero() {
		shard.opens = now.Add(shard.keeper.limits.past())
	}
	if !shard.lost {
		return
	}
	shard.lost = false
	for text, stored := range shard.records {
		key, err := ParseKey(text)
		if err == nil && key.form == PlainKey && stored.expires == 0 && shard.gone(stored.holder) {
			shard.expireLater(key, now.Add(shard.keeper.limits.past()))
		}
	}
}

// horizon returns the latest view before which no start of a plain key is still protected, or NoView.
func (keeper *Keeper) horizon(now time.Time) int64 {
	keeper.accountMutex.Lock()
	defer keeper.accountMutex.Unlock()
	horizon := NoView
	for len(keeper.accounted) > 0 && !now.Before(keeper.accounted[0].at.Add(keeper.limits.past())) {
		horizon = keeper.accounted[0].view
		if len(keeper.accounted) == 1 {
			break
		}
		if now.Before(keeper.accounted[1].at.Add(keeper.limits.past())) {
			break
		}
		keeper.accounted = keeper.accounted[1:]
	}
	return horizon
}
