package keeper

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// record is one start record: one that this instance wrote, a copy stored as a witness, or a copy received in a sync.
type record struct {
	digest   dispatcher.Digest
	view     int64
	sequence uint64
	state    State
	// confirmed is set if a cancellation is stored at a witness, or needs none, so that callers may be answered.
	confirmed bool
	// holder is the incarnation that wrote the record and has the answer as long as it runs.
	holder string
	// witness is the incarnation that acknowledged the record; only the holder has it.
	witness string
	// outcome is the outcome of the job; only the holder has it.
	outcome dispatcher.Outcome
	// expires is the time at which the record is dropped, in Unix nanoseconds, or 0 if none is set. A time.Time would
	// take 24 bytes in every record.
	expires int64
}

// attempt is the state of a record of this owner that waits for the acknowledgement of a witness.
type attempt struct {
	key        string
	submission Submission
	tickets    []uint64
	witness    Member
	tried      []string
	// requests counts the requests sent in this view, fullRefusals those refused because the witness's table was full.
	requests     int
	fullRefusals int
	deadline     time.Time
	// awaitsView is set if a member has adopted a later view: the attempt waits until this owner has read it.
	awaitsView bool
}

// shard is the state of one slice. No method locks a second shard.
type shard struct {
	keeper *Keeper
	slice  int
	// nextDeadline is the Unix time in nanoseconds before which HandleDeadlines has nothing to do. It is written under
	// mutex and read without it, so that HandleDeadlines takes no lock of an idle shard.
	nextDeadline atomic.Int64

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	history     *viewHistory
	records     map[string]*record
	attempts    map[string]*attempt
	answers     answerCache
	expirations expiryQueue
	sequence    uint64
	// synced is set if this instance owns the slice and every start from the view floor on is known.
	synced bool
	floor  int64
	// closed is set if starts of plain keys may be unknown, because an owner and possible witnesses have left without
	// handing over their records. opensAt is when the slice opens again; it is zero until every live incarnation has
	// adopted the current view.
	closed  bool
	opensAt time.Time
	// hasOrphanedRecords is set if the holder of a plain key's record has left the view but may still start the job, so
	// that the record has no expiry time yet.
	hasOrphanedRecords bool
	// lastSynced is the last view in which this instance had synced the slice as its owner. viewHistory.floor walks
	// back from the current view and reaches it first, so no earlier ones are kept.
	lastSynced *SyncedView
	syncState  *syncState
}

// effects collects the events and messages that a call returns.
type effects struct {
	events   []Event
	outgoing []Outgoing
}

func (effects *effects) emit(event Event) { effects.events = append(effects.events, event) }

func (effects *effects) send(to Member, message Message) {
	effects.outgoing = append(effects.outgoing, Outgoing{To: to, Message: message})
}

func (shard *shard) self() string { return shard.keeper.self.Incarnation }

// putRecord stores a record and updates Keeper.recordCount.
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

// isOnlyMember reports whether the view has no other member that could be a witness.
func (shard *shard) isOnlyMember() bool { return len(shard.history.current.view.Members) == 1 }

// reachableMember returns the member or departing member with the incarnation, unless it is suspected.
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

// hasLeft reports whether the holder is neither a member nor a departing member of the current view, so that it will
// not report the outcomes of its jobs.
func (shard *shard) hasLeft(holder string) bool {
	return holder != shard.self() && shard.history != nil && !shard.history.current.includes(holder)
}

// isSettled reports whether the record is final or its holder has left, so that no change of it is expected.
func (shard *shard) isSettled(record *record) bool {
	switch record.state {
	case StateFinished, StateFailed, StateCancelled:
		return true
	default:
		return shard.hasLeft(record.holder)
	}
}

// scheduleBy makes HandleDeadlines process the shard at the given time or before.
func (shard *shard) scheduleBy(at time.Time) {
	if nanoseconds := at.UnixNano(); nanoseconds < shard.nextDeadline.Load() {
		shard.nextDeadline.Store(nanoseconds)
	}
}
