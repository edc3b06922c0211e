package keeper

import (
	"maps"
	"slices"
	"time"
)

const (
	// recordsPerPart keeps a part with the longest keys under the 1 MiB frame: such a record takes about
	// 400 bytes.
	recordsPerPart = 2048
	// departingTimeouts is how many sync timeouts a departing member gets; after that it counts as excluded.
	departingTimeouts = 4
	// announceTimeouts is for how many sync timeouts a new owner repeats Synced to departing members.
	announceTimeouts = 10
)

// syncing is the state of an owner that collects the records of its slice.
type syncing struct {
	// missing holds what each member that has not answered has sent so far.
	missing map[string]*partial
	// answered holds the last synced view of each member that has answered, nil if it had none.
	answered map[string]*SyncedView
	resend   time.Time
	giveUp   time.Time
}

// partial is the answer of one member to one request.
type partial struct {
	sequence uint64
	seen     []bool
	left     int
}

// startSync returns the members to ask; a view without other members is synced at once.
func (shard *shard) startSync(now time.Time, effects *effects) []string {
	timeout := shard.keeper.limits.SyncTimeout
	shard.syncing = &syncing{
		missing: map[string]*partial{}, answered: map[string]*SyncedView{},
		resend: now.Add(timeout), giveUp: now.Add(departingTimeouts * timeout),
	}
	shard.wake(shard.syncing.resend)
	view := shard.place.current.view
	for _, member := range slices.Concat(view.Members, view.Departing) {
		if member.Incarnation != shard.self() {
			shard.syncing.missing[member.Incarnation] = &partial{}
		}
	}
	asked := slices.Sorted(maps.Keys(shard.syncing.missing))
	shard.finishSync(now, effects)
	return asked
}

// addRequest adds a slice to the request to one member: one message serves all slices.
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

// receiveSyncRequest answers, or keeps the request until this instance has adopted the view. A member of a
// later view does not answer: it may have dropped records that the earlier view still counts on.
func (keeper *Keeper) receiveSyncRequest(from Member, request SyncRequest, effects *effects) {
	keeper.deferMutex.Lock()
	later := request.View > keeper.place.Load().number()
	if later {
		keeper.deferred[from.Incarnation] = request
	}
	keeper.deferMutex.Unlock()
	if later {
		return
	}
	for _, slice := range request.Slices {
		if slice >= 0 && slice < SliceCount {
			keeper.shards[slice].answerSync(from, request, effects)
		}
	}
}

// answerDeferred answers the requests that came before their view.
func (keeper *Keeper) answerDeferred(effects *effects) {
	keeper.deferMutex.Lock()
	ready := keeper.deferred
	keeper.deferred = map[string]SyncRequest{}
	keeper.deferMutex.Unlock()
	for _, incarnation := range slices.Sorted(maps.Keys(ready)) {
		keeper.receiveSyncRequest(keeper.member(incarnation), ready[incarnation], effects)
	}
}

// answerSync sends the slice's records; the slice is sealed by the view that it has adopted.
func (shard *shard) answerSync(from Member, request SyncRequest, effects *effects) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.place.number() != request.View || shard.owner().Incarnation != from.Incarnation {
		return
	}
	records := make([]SyncRecord, 0, len(shard.records))
	for text, stored := range shard.records {
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
			View: request.View, Slice: shard.slice, Sequence: request.Sequence, Part: part, Parts: parts,
			Records: records[part*recordsPerPart : min(len(records), (part+1)*recordsPerPart)],
		}
		if shard.last != nil {
			synced := *shard.last
			response.Synced = &synced
		}
		effects.send(from, response)
	}
}

func (keeper *Keeper) receiveSyncResponse(from string, response SyncResponse, now time.Time, effects *effects) {
	if response.Slice < 0 || response.Slice >= SliceCount {
		return
	}
	shard := keeper.shards[response.Slice]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.syncing == nil || response.View != shard.place.number() {
		return
	}
	if shard.collect(from, response) {
		shard.finishSync(now, effects)
	}
}

// collect merges one part and returns whether the member's answer is complete. Only parts of one answer
// count together: two answers may divide the records differently.
func (shard *shard) collect(from string, response SyncResponse) bool {
	partial := shard.syncing.missing[from]
	if partial == nil || response.Sequence < partial.sequence || response.Parts < 1 || response.Part < 0 || response.Part >= response.Parts {
		return false
	}
	if response.Sequence > partial.sequence {
		partial.sequence, partial.seen, partial.left = response.Sequence, make([]bool, response.Parts), response.Parts
	}
	if response.Part >= len(partial.seen) || partial.seen[response.Part] {
		return false
	}
	partial.seen[response.Part] = true
	partial.left--
	for _, brought := range response.Records {
		shard.merge(brought)
	}
	if partial.left > 0 {
		return false
	}
	delete(shard.syncing.missing, from)
	shard.syncing.answered[from] = response.Synced
	return true
}

// merge takes over a record that another member knows, if it says more than the known one.
func (shard *shard) merge(brought SyncRecord) {
	key, err := ParseKey(brought.Key)
	if err != nil || key.slice != shard.slice {
		return
	}
	known := shard.records[brought.Key]
	switch {
	case known == nil:
	case known.holder == shard.self() && known.state >= StateStarted:
		return
	case (known.state >= StateStarted) != (brought.State >= StateStarted):
		if known.state >= StateStarted {
			return
		}
	case known.view > brought.View || known.view == brought.View && known.sequence > brought.Sequence:
		return
	case known.view == brought.View && known.sequence == brought.Sequence && known.state >= brought.State:
		return
	}
	shard.put(brought.Key, &record{
		digest: brought.Digest, view: brought.View, sequence: brought.Sequence, state: brought.State, holder: brought.Holder,
	})
}

// finishSync makes the slice served once every member has answered, and every departing one has answered or
// has had its time.
func (shard *shard) finishSync(now time.Time, effects *effects) {
	for incarnation := range shard.syncing.missing {
		_, departing := find(shard.place.current.view.Departing, incarnation)
		if !departing || now.Before(shard.syncing.giveUp) && !shard.keeper.suspected(incarnation) {
			return
		}
	}
	answered := shard.syncing.answered
	answered[shard.self()] = shard.last
	floor, closed := shard.place.floor(shard.slice, answered, shard.keeper.horizon(now))
	shard.syncing = nil
	shard.resolve(answered, now)
	shard.serve(max(floor, shard.place.current.expiryFloor), closed)
	for _, member := range shard.place.current.view.Departing {
		effects.send(member, Synced{View: shard.place.number(), Slices: []int{shard.slice}})
	}
}

// resolve settles what the copies leave open. A holder that has answered reports every start as started, so
// a copy that is only pending has not started and never will; without its holder's answer it may have.
func (shard *shard) resolve(answered map[string]*SyncedView, now time.Time) {
	for text, stored := range shard.records {
		if stored.state == StatePending {
			if _, found := answered[stored.holder]; found {
				shard.drop(text)
				continue
			}
			stored.state = StateStarted
		}
		shard.age(text, stored, now)
	}
}

// expireSync returns the members to ask again.
func (shard *shard) expireSync(now time.Time, effects *effects) []string {
	if now.Before(shard.syncing.resend) {
		return nil
	}
	if !now.Before(shard.syncing.giveUp) {
		shard.finishSync(now, effects)
		if shard.syncing == nil {
			return nil
		}
	}
	shard.syncing.resend = now.Add(shard.keeper.limits.SyncTimeout)
	return slices.Sorted(maps.Keys(shard.syncing.missing))
}

// floor walks the views back from the current one and returns the lowest view from which every start of the
// slice is known, and whether earlier starts may be lost (custody loss). answered holds the members that
// have adopted the current view, with the last view in which each had synced the slice. A loss below the
// horizon concerns no plain key any more; without this, every crash of an owner whose slice has a longer
// history than the kept one would close the slice.
func (place *position) floor(slice int, answered map[string]*SyncedView, horizon int64) (int64, bool) {
	after := place.current
	for i := len(place.before) - 1; after.origin == follows && i >= 0; i-- {
		view := place.before[i]
		owner := view.owner(slice).Incarnation
		synced, ownerAnswered := answered[owner]
		switch {
		case ownerAnswered && synced != nil && synced.View == view.number:
			return synced.Floor, synced.Closed
		case !ownerAnswered && !view.witnessesAnswered(owner, answered):
			return after.number, after.number > horizon
		}
		after = view
	}
	if after.origin == first {
		return 0, false
	}
	return after.number, after.number > horizon
}

// witnessesAnswered says that the view had other members than its owner and that all have answered: one of
// them holds a copy of every start in that view.
func (standing *standing) witnessesAnswered(owner string, answered map[string]*SyncedView) bool {
	for _, member := range standing.view.Members {
		if _, found := answered[member.Incarnation]; !found && member.Incarnation != owner {
			return false
		}
	}
	return len(standing.view.Members) > 1
}

// Synced says whether this instance has read a view and every slice that it owns there is synced.
func (keeper *Keeper) Synced() bool {
	place := keeper.place.Load()
	if place == nil {
		return false
	}
	for slice := range SliceCount {
		if place.current.owner(slice).Incarnation == keeper.self.Incarnation && keeper.serving.Load()&(1<<slice) == 0 {
			return false
		}
	}
	return true
}

// UnresponsiveMembers returns the incarnations of members that have not answered a sync request in time.
func (keeper *Keeper) UnresponsiveMembers(now time.Time) []string {
	silent := map[string]bool{}
	for _, shard := range keeper.shards {
		shard.mutex.Lock()
		if shard.syncing != nil && !now.Before(shard.syncing.giveUp.Add(-(departingTimeouts-1)*keeper.limits.SyncTimeout)) {
			for incarnation := range shard.syncing.missing {
				silent[incarnation] = true
			}
		}
		shard.mutex.Unlock()
	}
	return slices.Sorted(maps.Keys(silent))
}

// announce tells departing members which slices are served without them.
func (keeper *Keeper) announce(place *position, effects *effects) {
	served := keeper.serving.Load()
	if served == 0 || len(place.current.view.Departing) == 0 {
		return
	}
	message := Synced{View: place.number()}
	for slice := range SliceCount {
		if served&(1<<slice) != 0 {
			message.Slices = append(message.Slices, slice)
		}
	}
	for _, member := range place.current.view.Departing {
		effects.send(member, message)
	}
}

// announceAgain repeats the announcement for a while, because a departing member waits for it.
func (keeper *Keeper) announceAgain(now time.Time, effects *effects) {
	keeper.chainMutex.Lock()
	defer keeper.chainMutex.Unlock()
	place, timeout := keeper.place.Load(), keeper.limits.SyncTimeout
	if place == nil || now.Before(keeper.announceDue) || now.After(keeper.adopted.Add(announceTimeouts*timeout)) {
		return
	}
	keeper.announceDue = now.Add(timeout)
	keeper.announce(place, effects)
}

func (keeper *Keeper) receiveSynced(synced Synced) {
	if synced.View != keeper.place.Load().number() {
		return
	}
	for _, slice := range synced.Slices {
		if slice >= 0 && slice < SliceCount {
			keeper.handed.Or(1 << slice)
		}
	}
}

// HandedOver says, on a departing member, whether every slice has an owner that has synced without it.
func (keeper *Keeper) HandedOver() bool { return keeper.handed.Load() == ^uint64(0) }
