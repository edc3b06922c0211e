package keeper

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const detailMoved = "the slice has another owner now"

// SetEarliestOffset sets the earliest retained offset of the log stream of views. Call it before the first Adopt
// and again whenever the reader had to skip trimmed records.
func (keeper *Keeper) SetEarliestOffset(earliest int64) {
	keeper.viewMutex.Lock()
	defer keeper.viewMutex.Unlock()
	keeper.viewChain.setEarliest(earliest)
}

// Adopt processes one record of the log stream of views and adopts the view if it is valid; an invalid record
// changes nothing. Records must come in the order of their offsets.
func (keeper *Keeper) Adopt(offset int64, view View, now time.Time) ([]Event, []Outgoing) {
	keeper.viewMutex.Lock()
	defer keeper.viewMutex.Unlock()
	var effects effects
	for _, history := range keeper.viewChain.read(offset, view) {
		keeper.adopt(history, now, &effects)
	}
	return effects.events, effects.outgoing
}

// adopt makes every slice adopt a view, and sends what follows from it: sync requests, announcements to departing
// members, and the new decisions on waiting refusals and deferred sync requests.
func (keeper *Keeper) adopt(history *viewHistory, now time.Time, effects *effects) {
	keeper.handedOver.Store(0)
	keeper.history.Store(history)
	keeper.adoptedAt = now
	requests := map[string]*SyncRequest{}
	for _, sliceState := range keeper.sliceStates {
		for _, member := range sliceState.adopt(history, now, effects) {
			addRequest(requests, member, history.number(), sliceState.slice)
		}
	}
	keeper.sendRequests(requests, effects)
	keeper.announceSynced(history, effects)
	keeper.reconsiderRefusals(keeper.confirmer.takeAll(), now, effects)
	keeper.answerDeferred(effects)
}

// adopt moves the slice to a later view and returns the incarnations to send a sync request to, if any.
func (sliceState *sliceState) adopt(history *viewHistory, now time.Time, effects *effects) []string {
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	stays := history.current.predecessor == knownPredecessor && sliceState.owns() && sliceState.synced
	earlier := sliceState.history
	sliceState.history, sliceState.syncState = history, nil
	stays = stays && sliceState.owns()
	sliceState.expireRecords(earlier, now)
	if stays {
		sliceState.startServing(max(sliceState.floor, history.current.expiryFloor), sliceState.closed)
		sliceState.renewAttempts(now, effects)
		return nil
	}
	sliceState.synced = false
	sliceState.keeper.setServing(sliceState.slice, false)
	sliceState.failAttempts(effects)
	if !sliceState.owns() {
		return nil
	}
	return sliceState.startSync(now, effects)
}

// startServing makes this instance decide the keys of the slice in its view. Every start from the view floor on is
// known; closed is set if earlier starts of plain keys may be unknown.
func (sliceState *sliceState) startServing(floor int64, closed bool) {
	if !sliceState.synced || !closed {
		sliceState.opensAt = time.Time{}
	}
	sliceState.synced, sliceState.floor, sliceState.closed = true, floor, closed
	sliceState.lastSynced = &SyncedView{View: sliceState.history.number(), Floor: floor, Closed: closed}
	sliceState.keeper.setServing(sliceState.slice, true)
}

func (keeper *Keeper) setServing(slice int, serving bool) {
	if serving {
		keeper.serving.Or(1 << slice)
	} else {
		keeper.serving.And(^uint64(1 << slice))
	}
}

// renewAttempts repeats the pending attempts in the new view, because members in it refuse records of earlier
// views.
func (sliceState *sliceState) renewAttempts(now time.Time, effects *effects) {
	if len(sliceState.attempts) == 0 {
		return
	}
	for _, text := range slices.Sorted(maps.Keys(sliceState.attempts)) {
		attempt := sliceState.attempts[text]
		stored := sliceState.records[text]
		key, err := ParseKey(text)
		if err != nil {
			continue
		}
		attempt.tried, attempt.requests, attempt.fullRefusals = nil, 0, 0
		switch {
		case sliceState.uncertaintyReason(key, now) != "":
			sliceState.abandon(attempt, stored)
			sliceState.failAttempt(attempt, sliceState.uncertaintyReason(key, now), false, effects)
		case sliceState.isOnlyMember():
			attempt.witness = Member{}
			stored.view = sliceState.history.number()
			sliceState.grant(attempt, stored, effects)
		case !sliceState.requestWitness(attempt, stored, now, effects):
			sliceState.abandon(attempt, stored)
			sliceState.failAttempt(attempt, detailNoWitness, false, effects)
		}
	}
}

// failAttempts ends every attempt after this instance has lost the right to decide the slice; callers may resubmit to
// the new owner.
func (sliceState *sliceState) failAttempts(effects *effects) {
	if len(sliceState.attempts) == 0 {
		return
	}
	for _, text := range slices.Sorted(maps.Keys(sliceState.attempts)) {
		attempt := sliceState.attempts[text]
		sliceState.abandon(attempt, sliceState.records[text])
		sliceState.failAttempt(attempt, detailMoved, true, effects)
	}
}

func (sliceState *sliceState) failAttempt(attempt *attempt, detail string, resubmit bool, effects *effects) {
	for _, ticket := range attempt.tickets {
		effects.emit(AttemptFailed{Key: attempt.key, Ticket: ticket, Outcome: dispatcher.NewUnknown(detail), Resubmit: resubmit})
	}
}

// expireRecords calls expireRecord for every record. It scans the table only if the current view raises the expiry
// floor or a member has left, compared with the earlier view.
func (sliceState *sliceState) expireRecords(earlier *viewHistory, now time.Time) {
	current := sliceState.history.current
	raised := earlier == nil || current.expiryFloor > earlier.current.expiryFloor
	left := earlier == nil || slices.ContainsFunc(earlier.current.view.Members, func(member Member) bool {
		return !current.includes(member.Incarnation)
	}) || len(earlier.current.view.Departing) > 0
	if !raised && !left {
		return
	}
	for text, stored := range sliceState.records {
		sliceState.expireRecord(text, stored, now)
	}
}

// expireRecord drops the settled record of an issued key below the expiry floor, and sets the expiry time of that of a
// plain key. The record of a job that has not ended stays while its holder may still start the job, however long the
// holder has been unresponsive: its expiry time is set only once every live incarnation has adopted the current view
// (see SetAdoptedByAll).
func (sliceState *sliceState) expireRecord(text string, stored *record, now time.Time) {
	if !sliceState.isSettled(stored) {
		return
	}
	key, err := ParseKey(text)
	switch {
	case err != nil:
	case key.form == IssuedKey && key.number < sliceState.history.current.expiryFloor && sliceState.attempts[text] == nil:
		sliceState.dropRecord(text)
	case key.form == PlainKey && stored.expires == 0 && stored.state < StateFinished && stored.state != StateCancelled:
		sliceState.hasOrphanedRecords = true
	case key.form == PlainKey && stored.expires == 0:
		sliceState.expireLater(key, now.Add(sliceState.keeper.limits.protectionPeriod()))
	}
}

// protectionPeriod returns how long after its start a plain key is protected at most: the job may run for MaxRun, and
// the retention counts from its end.
func (limits Limits) protectionPeriod() time.Duration { return limits.MaxRun + limits.Retention }

// fullyAdoptedView is a view that all live incarnations had adopted at adoptedAt, so that no slice was served in a
// lower view from then on.
type fullyAdoptedView struct {
	view      int64
	adoptedAt time.Time
}

// SetAdoptedByAll records that every incarnation on the instance list has adopted the current view; a number other
// than that of the current view is ignored. MaxRun plus Retention later, closed slices open to plain keys, and the
// records of plain keys whose holders have left expire.
func (keeper *Keeper) SetAdoptedByAll(view int64, now time.Time) {
	if view == NoView || view != keeper.history.Load().number() {
		return
	}
	keeper.fullyAdoptedMutex.Lock()
	if last := len(keeper.fullyAdopted) - 1; last < 0 || keeper.fullyAdopted[last].view != view {
		keeper.fullyAdopted = append(keeper.fullyAdopted, fullyAdoptedView{view, now})
	}
	keeper.fullyAdoptedMutex.Unlock()
	for _, sliceState := range keeper.sliceStates {
		sliceState.recordFullAdoption(view, now)
	}
}

// recordFullAdoption sets when the slice opens to plain keys and when orphaned records expire.
func (sliceState *sliceState) recordFullAdoption(view int64, now time.Time) {
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	if sliceState.history.number() != view {
		return
	}
	if sliceState.synced && sliceState.closed && sliceState.opensAt.IsZero() {
		sliceState.opensAt = now.Add(sliceState.keeper.limits.protectionPeriod())
	}
	if !sliceState.hasOrphanedRecords {
		return
	}
	sliceState.hasOrphanedRecords = false
	for text, stored := range sliceState.records {
		key, err := ParseKey(text)
		if err == nil && key.form == PlainKey && stored.expires == 0 && sliceState.hasLeft(stored.holder) {
			sliceState.expireLater(key, now.Add(sliceState.keeper.limits.protectionPeriod()))
		}
	}
}

// protectionHorizon returns the latest view such that no start of a plain key in an earlier view is still protected,
// or NoView. It drops the fully adopted views before that one.
func (keeper *Keeper) protectionHorizon(now time.Time) int64 {
	keeper.fullyAdoptedMutex.Lock()
	defer keeper.fullyAdoptedMutex.Unlock()
	protectionHorizon := NoView
	for len(keeper.fullyAdopted) > 0 && !now.Before(keeper.fullyAdopted[0].adoptedAt.Add(keeper.limits.protectionPeriod())) {
		protectionHorizon = keeper.fullyAdopted[0].view
		if len(keeper.fullyAdopted) == 1 {
			break
		}
		if now.Before(keeper.fullyAdopted[1].adoptedAt.Add(keeper.limits.protectionPeriod())) {
			break
		}
		keeper.fullyAdopted = keeper.fullyAdopted[1:]
	}
	return protectionHorizon
}
