package keeper

import (
	"maps"
	"slices"
	"time"
)

const (
	// recordsPerPart keeps a part with the longest keys under the 1 MiB limit of a frame: such a record takes about
	// 400 bytes.
	recordsPerPart = 2048
	// departingTimeouts is the time that a departing member has to answer, in sync timeouts; then the sync ends without
	// it, as for an excluded member.
	departingTimeouts = 4
	// announceTimeouts is the time after a view change, in sync timeouts, during which owners repeat Synced to
	// departing members.
	announceTimeouts = 10
)

// syncState is the progress of an owner that collects the records of its slice.
type syncState struct {
	// missing holds, for each member that has not answered completely, what it has sent so far.
	missing map[string]*syncProgress
	// answered holds, for each member that has answered, its last synced view, or nil if it had none.
	answered map[string]*SyncedView
	resendAt time.Time
	giveUpAt time.Time
}

// syncProgress tracks the parts received of one member's answer to the request with this sequence number.
type syncProgress struct {
	sequence  uint64
	seen      []bool
	remaining int
}

// startSync begins to collect the records of the slice and returns the incarnations to send a sync request to. If there
// are no other members, the sync ends at once.
func (sliceState *sliceState) startSync(now time.Time, effects *effects) []string {
	timeout := sliceState.keeper.limits.SyncTimeout
	sliceState.syncState = &syncState{
		missing: map[string]*syncProgress{}, answered: map[string]*SyncedView{},
		resendAt: now.Add(timeout), giveUpAt: now.Add(departingTimeouts * timeout),
	}
	sliceState.scheduleBy(sliceState.syncState.resendAt)
	view := sliceState.history.current.view
	for _, member := range slices.Concat(view.Members, view.Departing) {
		if member.Incarnation != sliceState.self() {
			sliceState.syncState.missing[member.Incarnation] = &syncProgress{}
		}
	}
	asked := slices.Sorted(maps.Keys(sliceState.syncState.missing))
	sliceState.finishSync(now, effects)
	return asked
}

// addRequest adds a slice to the request for one member, so that one message serves all slices.
func addRequest(requests map[string]*SyncRequest, member string, view int64, slice int) {
	request := requests[member]
	if request == nil || request.View < view {
		request = &SyncRequest{View: view}
		requests[member] = request
	}
	request.Slices = append(request.Slices, slice)
}

func (keeper *Keeper) sendRequests(requests map[string]*SyncRequest, effects *effects) {
	for _, incarnation := range slices.Sorted(maps.Keys(requests)) {
		request := requests[incarnation]
		request.Sequence = keeper.ticket()
		effects.send(keeper.member(incarnation), *request)
	}
}

// receiveSyncRequest answers a request, or keeps it until this instance has adopted the view. An instance in a later
// view does not answer, because it may have dropped records that the earlier view still relies on.
func (keeper *Keeper) receiveSyncRequest(from Member, request SyncRequest, effects *effects) {
	keeper.deferMutex.Lock()
	later := request.View > keeper.history.Load().number()
	if later {
		keeper.deferredSyncs[from.Incarnation] = request
	}
	keeper.deferMutex.Unlock()
	if later {
		return
	}
	for _, slice := range request.Slices {
		if slice >= 0 && slice < SliceCount {
			keeper.sliceStates[slice].answerSync(from, request, effects)
		}
	}
}

// answerDeferred processes the requests that arrived before their view.
func (keeper *Keeper) answerDeferred(effects *effects) {
	keeper.deferMutex.Lock()
	ready := keeper.deferredSyncs
	keeper.deferredSyncs = map[string]SyncRequest{}
	keeper.deferMutex.Unlock()
	for _, incarnation := range slices.Sorted(maps.Keys(ready)) {
		keeper.receiveSyncRequest(keeper.member(incarnation), ready[incarnation], effects)
	}
}

// answerSync sends the slice's records if the sender owns the slice in the current view. No record of an earlier view
// can be added afterwards, because receiveRecord refuses it.
func (sliceState *sliceState) answerSync(from Member, request SyncRequest, effects *effects) {
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	if sliceState.history.number() != request.View || sliceState.owner().Incarnation != from.Incarnation {
		return
	}
	records := make([]SyncRecord, 0, len(sliceState.records))
	for text, stored := range sliceState.records {
		key, err := ParseKey(text)
		if err != nil || key.form == SoloKey {
			continue
		}
		records = append(records, SyncRecord{
			Key: text, Digest: stored.digest, View: stored.view, Sequence: stored.sequence,
			State: stored.state, Holder: stored.holder,
		})
	}
	parts := max(1, (len(records)+recordsPerPart-1)/recordsPerPart)
	for part := range parts {
		response := SyncResponse{
			View: request.View, Slice: sliceState.slice, Sequence: request.Sequence, Part: part, Parts: parts,
			Records: records[part*recordsPerPart : min(len(records), (part+1)*recordsPerPart)],
		}
		if sliceState.lastSynced != nil {
			synced := *sliceState.lastSynced
			response.Synced = &synced
		}
		effects.send(from, response)
	}
}

func (keeper *Keeper) receiveSyncResponse(from string, response SyncResponse, now time.Time, effects *effects) {
	if response.Slice < 0 || response.Slice >= SliceCount {
		return
	}
	sliceState := keeper.sliceStates[response.Slice]
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	if sliceState.syncState == nil || response.View != sliceState.history.number() {
		return
	}
	if sliceState.mergePart(from, response) {
		sliceState.finishSync(now, effects)
	}
}

// mergePart merges one part and reports whether the member's answer is complete. Only parts of the same answer count
// together, because two answers may divide the records differently.
func (sliceState *sliceState) mergePart(from string, response SyncResponse) bool {
	progress := sliceState.syncState.missing[from]
	if progress == nil || response.Sequence < progress.sequence || response.Parts < 1 || response.Part < 0 || response.Part >= response.Parts {
		return false
	}
	if response.Sequence > progress.sequence {
		progress.sequence, progress.seen, progress.remaining = response.Sequence, make([]bool, response.Parts), response.Parts
	}
	if response.Part >= len(progress.seen) || progress.seen[response.Part] {
		return false
	}
	progress.seen[response.Part] = true
	progress.remaining--
	for _, incoming := range response.Records {
		sliceState.mergeRecord(incoming)
	}
	if progress.remaining > 0 {
		return false
	}
	delete(sliceState.syncState.missing, from)
	sliceState.syncState.answered[from] = response.Synced
	return true
}

// mergeRecord stores a record that another member has sent, unless the known one is at least as recent. A record in
// StateStarted or above replaces one that has not started, and never the reverse.
func (sliceState *sliceState) mergeRecord(incoming SyncRecord) {
	key, err := ParseKey(incoming.Key)
	if err != nil || key.slice != sliceState.slice {
		return
	}
	known := sliceState.records[incoming.Key]
	switch {
	case known == nil:
	case known.holder == sliceState.self() && known.state >= StateStarted:
		return
	case (known.state >= StateStarted) != (incoming.State >= StateStarted):
		if known.state >= StateStarted {
			return
		}
	case known.view > incoming.View || known.view == incoming.View && known.sequence > incoming.Sequence:
		return
	case known.view == incoming.View && known.sequence == incoming.Sequence && known.state >= incoming.State:
		return
	}
	sliceState.putRecord(incoming.Key, &record{
		digest: incoming.Digest, view: incoming.View, sequence: incoming.Sequence, state: incoming.State, holder: incoming.Holder,
	})
}

// finishSync starts serving the slice if every member has answered, and every departing member has answered, is
// suspected or has run out of time.
func (sliceState *sliceState) finishSync(now time.Time, effects *effects) {
	for incarnation := range sliceState.syncState.missing {
		_, departing := findMember(sliceState.history.current.view.Departing, incarnation)
		if !departing || now.Before(sliceState.syncState.giveUpAt) && !sliceState.keeper.suspected(incarnation) {
			return
		}
	}
	answered := sliceState.syncState.answered
	answered[sliceState.self()] = sliceState.lastSynced
	floor, closed := sliceState.history.floor(sliceState.slice, answered, sliceState.keeper.protectionHorizon(now))
	sliceState.syncState = nil
	sliceState.resolvePending(answered, now)
	sliceState.startServing(max(floor, sliceState.history.current.expiryFloor), closed)
	for _, member := range sliceState.history.current.view.Departing {
		effects.send(member, Synced{View: sliceState.history.number(), Slices: []int{sliceState.slice}})
	}
}

// resolvePending settles the pending records after a sync. A holder that has answered reports each of its starts as
// started, so a copy that is still pending has not started and never will. Without the holder's answer it may have
// started.
func (sliceState *sliceState) resolvePending(answered map[string]*SyncedView, now time.Time) {
	for text, stored := range sliceState.records {
		if stored.state == StatePending {
			if _, found := answered[stored.holder]; found {
				sliceState.dropRecord(text)
				continue
			}
			stored.state = StateStarted
		}
		sliceState.expireRecord(text, stored, now)
	}
}

// handleSyncDeadlines ends the sync if only departing members are missing and their time has run out. Otherwise it
// returns the incarnations to which a sync request must be sent again, if any.
func (sliceState *sliceState) handleSyncDeadlines(now time.Time, effects *effects) []string {
	if now.Before(sliceState.syncState.resendAt) {
		return nil
	}
	if !now.Before(sliceState.syncState.giveUpAt) {
		sliceState.finishSync(now, effects)
		if sliceState.syncState == nil {
			return nil
		}
	}
	sliceState.syncState.resendAt = now.Add(sliceState.keeper.limits.SyncTimeout)
	return slices.Sorted(maps.Keys(sliceState.syncState.missing))
}

// floor walks back from the current view and returns the lowest view from which every start of the slice is known, and
// whether starts of plain keys in earlier views may be unknown. answered holds the members that have adopted the
// current view, with the last view in which each had synced the slice. Starts in views below the horizon no longer
// protect plain keys; without the horizon, every crash of an owner whose slice has a longer history than is kept would
// close the slice to plain keys.
func (history *viewHistory) floor(slice int, answered map[string]*SyncedView, horizon int64) (int64, bool) {
	lowest := history.current
	for i := len(history.earlier) - 1; lowest.predecessor == knownPredecessor && i >= 0; i-- {
		view := history.earlier[i]
		owner := view.owner(slice).Incarnation
		synced, ownerAnswered := answered[owner]
		switch {
		case ownerAnswered && synced != nil && synced.View == view.number:
			return synced.Floor, synced.Closed
		case !ownerAnswered && !view.witnessesAnswered(owner, answered):
			return lowest.number, lowest.number > horizon
		}
		lowest = view
	}
	if lowest.predecessor == firstOfLog {
		return 0, false
	}
	return lowest.number, lowest.number > horizon
}

// witnessesAnswered reports whether the view had members besides the owner and all of them have answered. Together they
// hold a copy of every start in that view.
func (adoptedView *adoptedView) witnessesAnswered(owner string, answered map[string]*SyncedView) bool {
	for _, member := range adoptedView.view.Members {
		if _, found := answered[member.Incarnation]; !found && member.Incarnation != owner {
			return false
		}
	}
	return len(adoptedView.view.Members) > 1
}

// Synced reports whether this instance has adopted a view and has synced every slice that it owns there.
func (keeper *Keeper) Synced() bool {
	history := keeper.history.Load()
	if history == nil {
		return false
	}
	for slice := range SliceCount {
		if history.current.owner(slice).Incarnation == keeper.self.Incarnation && keeper.serving.Load()&(1<<slice) == 0 {
			return false
		}
	}
	return true
}

// UnresponsiveMembers returns the incarnations of members that have not answered a sync request within SyncTimeout.
func (keeper *Keeper) UnresponsiveMembers(now time.Time) []string {
	unresponsive := map[string]bool{}
	for _, sliceState := range keeper.sliceStates {
		sliceState.mutex.Lock()
		if sliceState.syncState != nil && !now.Before(sliceState.syncState.giveUpAt.Add(-(departingTimeouts-1)*keeper.limits.SyncTimeout)) {
			for incarnation := range sliceState.syncState.missing {
				unresponsive[incarnation] = true
			}
		}
		sliceState.mutex.Unlock()
	}
	return slices.Sorted(maps.Keys(unresponsive))
}

// announceSynced notifies departing members of the slices that this instance serves, so that they are no longer needed
// for them.
func (keeper *Keeper) announceSynced(history *viewHistory, effects *effects) {
	served := keeper.serving.Load()
	if served == 0 || len(history.current.view.Departing) == 0 {
		return
	}
	message := Synced{View: history.number()}
	for slice := range SliceCount {
		if served&(1<<slice) != 0 {
			message.Slices = append(message.Slices, slice)
		}
	}
	for _, member := range history.current.view.Departing {
		effects.send(member, message)
	}
}

// repeatAnnouncement repeats the announcement every SyncTimeout for a while, because a departing member waits for it
// and the message may be lost.
func (keeper *Keeper) repeatAnnouncement(now time.Time, effects *effects) {
	keeper.viewMutex.Lock()
	defer keeper.viewMutex.Unlock()
	history, timeout := keeper.history.Load(), keeper.limits.SyncTimeout
	if history == nil || now.Before(keeper.nextAnnouncement) || now.After(keeper.adoptedAt.Add(announceTimeouts*timeout)) {
		return
	}
	keeper.nextAnnouncement = now.Add(timeout)
	keeper.announceSynced(history, effects)
}

func (keeper *Keeper) receiveSynced(synced Synced) {
	if synced.View != keeper.history.Load().number() {
		return
	}
	for _, slice := range synced.Slices {
		if slice >= 0 && slice < SliceCount {
			keeper.handedOver.Or(1 << slice)
		}
	}
}

// HandedOver reports, on a departing member, whether every slice has an owner that has synced.
func (keeper *Keeper) HandedOver() bool { return keeper.handedOver.Load() == ^uint64(0) }
