package keeper

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// record is one start record: the owner's own, a witness's copy, or one that a sync brought.
type record struct {
	digest   dispatcher.Digest
	view     int64
	sequence uint64
	state    State
	// confirmed says that a witness holds the cancellation, so that it may be told.
	confirmed bool
	// holder is the incarnation that wrote the record; it has the answer as long as it lives.
	holder string
	// witness is the incarnation that acknowledged the record, known to the holder only.
	witness string
	// outcome is the answer, known to the holder only.
	outcome dispatcher.Outcome
	// expires is the time of the drop in Unix nanoseconds, 0 while none is set; an int64 because a
	// time.Time takes 24 bytes in every record.
	expires int64
}

// attempt is a record of this owner that waits for a witness.
type attempt struct {
	key        string
	submission Submission
	tickets    []uint64
	witness    Member
	tried      []string
	// tries counts the requests sent in this view, fulls those refused for want of room.
	tries    int
	fulls    int
	deadline time.Time
	// held says that a member has adopted a later view: the attempt waits until this owner has read it.
	held bool
}

// shard is the state of one slice. No method locks a second shard.
type shard struct {
	keeper *Keeper
	slice  int
	// due is the Unix time in nanoseconds before which Expire has nothing to do; it is written under mutex
	// and read without it, so that a pass over idle shards takes no lock.
	due atomic.Int64

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	place    *position
	records  map[string]*record
	attempts map[string]*attempt
	held     heldAnswers
	expiring expiryQueue
	sequence uint64
	// synced says that this instance owns the slice and knows every start from floor on.
	synced bool
	floor  int64
	// closed says that starts of plain keys may be unknown (custody loss); opens is zero until the
	// excluded incarnations are accounted for.
	closed bool
	opens  time.Time
	// lost says that the holder of a plain key's record has left and is not accounted for.
	lost bool
	// last is the last view in which this instance had synced the slice as its owner. The floor walk meets
	// it before any earlier one, so no more are kept.
	last    *SyncedView
	syncing *syncing
}

// effects collects what a call returns.
type effects struct {
	events   []Event
	outgoing []Outgoing
}

func (effects *effects) emit(event Event) { effects.events = append(effects.events, event) }

func (effects *effects) send(to Member, message Message) {
	effects.outgoing = append(effects.outgoing, Outgoing{To: to, Message: message})
}

func (shard *shard) self() string { return shard.keeper.self.Incarnation }

// put stores a record and keeps the keeper's count.
func (shard *shard) put(key string, added *record) {
	if _, found := shard.records[key]; !found {
		shard.keeper.count.Add(1)
	}
	shard.records[key] = added
}

func (shard *shard) drop(key string) {
	if dropped, found := shard.records[key]; found {
		shard.held.release(dropped)
		delete(shard.records, key)
		shard.keeper.count.Add(-1)
	}
}

// owner returns the owner of the slice in the current view.
func (shard *shard) owner() Member { return shard.place.current.owner(shard.slice) }

func (shard *shard) owns() bool {
	return shard.place != nil && shard.owner().Incarnation == shard.self()
}

// alone says that the view has no other member that could be a witness.
func (shard *shard) alone() bool { return len(shard.place.current.view.Members) == 1 }

// live returns the member that holds a record if it can be asked: it answers in this view and nothing
// speaks against it.
func (shard *shard) live(holder string) (Member, bool) {
	if shard.place == nil || shard.keeper.suspected(holder) {
		return Member{}, false
	}
	current := shard.place.current
	if member, found := find(current.view.Members, holder); found {
		return member, true
	}
	return find(current.view.Departing, holder)
}

// gone says that the holder is in no part of the current view, so that it will not report the end of its jobs.
func (shard *shard) gone(holder string) bool {
	return holder != shard.self() && shard.place != nil && !shard.place.current.answers(holder)
}

// settled says that nothing is expected to change the record any more.
func (shard *shard) settled(record *record) bool {
	switch record.state {
	case StateFinished, StateFailed, StateCancelled:
		return true
	default:
		return shard.gone(record.holder)
	}
}

// wake makes Expire look at the shard at the given time or before.
func (shard *shard) wake(at time.Time) {
	if nanoseconds := at.UnixNano(); nanoseconds < shard.due.Load() {
		shard.due.Store(nanoseconds)
	}
}
