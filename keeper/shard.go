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
	// requests counts the requests sent in this view, fulls those refused for want of room.
	requests     int
	fullRefusals int
	deadline     time.Time
	// awaitsView says that a member has adopted a later view: the attempt waits until this owner has read it.
	awaitsView bool
}

// shard is the state of one slice. No method locks a second shard.
type shard struct {
	keeper *Keeper
	slice  int
	// nextDeadline is the Unix time in nanoseconds before which Expire has nothing to do; it is written under mutex
	// and read without it, so that a pass over idle shards takes no lock.
	nextDeadline atomic.Int64

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	history     *viewHistory
	records     map[string]*record
	attempts    map[string]*attempt
	answers     answerCache
	expirations expiryQueue
	sequence    uint64
	// synced says that this instance owns the slice and knows every start from floor on.
	synced bool
	floor  int64
	// closed says that starts of plain keys may be unknown (custody loss); opens is zero until the
	// excluded incarnations are accounted for.
	closed  bool
	opensAt time.Time
	// hasOrphanedRecords says that the holder of a plain key's record has left and is not accounted for.
	hasOrphanedRecords bool
	// lastSynced is the last view in which this instance had synced the slice as its owner. The floor walk meets
	// it before any earlier one, so no more are kept.
	lastSynced *SyncedView
	syncState  *syncState
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

// putRecord stores a record and keeps the keeper's count.
func (shard *shard) putRecord(key string, added *record) {
	if _, found := shard.records[key]; !found {
		shard.keeper.recordCount.Add(1)
	}
	shard.records[key] = added
}

func (shard *shard) dropRecord(key string) {
	if dropped, found := shard.records[key]; found {
		shard.answers.release(dropped)
		delete(shard.records, key)
		shard.keeper.recordCount.Add(-1)
	}
}

// owner returns the owner of the slice in the current view.
func (shard *shard) owner() Member { return shard.history.current.owner(shard.slice) }

func (shard *shard) owns() bool {
	return shard.history != nil && shard.owner().Incarnation == shard.self()
}

// isOnlyMember says that the view has no other member that could be a witness.
func (shard *shard) isOnlyMember() bool { return len(shard.history.current.view.Members) == 1 }

// reachableMember returns the member that holds a record if it can be asked: it answers in this view and nothing
// speaks against it.
func (shard *shard) reachableMember(holder string) (Member, bool) {
	if shard.history == nil || shard.keeper.suspected(holder) {
		return Member{}, false
	}
	current := shard.history.current
	if member, found := findMember(current.view.Members, holder); found {
		return member, true
	}
	return findMember(current.view.Departing, holder)
}

// hasLeft says that the holder is in no part of the current view, so that it will not report the end of its jobs.
func (shard *shard) hasLeft(holder string) bool {
	return holder != shard.self() && shard.history != nil && !shard.history.current.includes(holder)
}

// isSettled says that nothing is expected to change the record any more.
func (shard *shard) isSettled(record *record) bool {
	switch record.state {
	case StateFinished, StateFailed, StateCancelled:
		return true
	default:
		return shard.hasLeft(record.holder)
	}
}

// scheduleBy makes Expire look at the shard at the given time or before.
func (shard *shard) scheduleBy(at time.Time) {
	if nanoseconds := at.UnixNano(); nanoseconds < shard.nextDeadline.Load() {
		shard.nextDeadline.Store(nanoseconds)
	}
}
