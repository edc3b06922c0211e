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

// sliceState is the state of one slice of the keys. No method locks the state of a second slice.
type sliceState struct {
	keeper *Keeper
	slice  int
	// nextDeadline is the Unix time in nanoseconds before which HandleDeadlines has nothing to do. It is written under
	// mutex and read without it, so that HandleDeadlines does not lock idle slices.
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

func (sliceState *sliceState) self() string { return sliceState.keeper.self.Incarnation }

// putRecord stores a record and updates Keeper.recordCount.
func (sliceState *sliceState) putRecord(key string, added *record) {
	if _, found := sliceState.records[key]; !found {
		sliceState.keeper.recordCount.Add(1)
	}
	sliceState.records[key] = added
}

func (sliceState *sliceState) dropRecord(key string) {
	if dropped, found := sliceState.records[key]; found {
		sliceState.answers.release(dropped)
		delete(sliceState.records, key)
		sliceState.keeper.recordCount.Add(-1)
	}
}

// owner returns the owner of the slice in the current view.
func (sliceState *sliceState) owner() Member {
	return sliceState.history.current.owner(sliceState.slice)
}

func (sliceState *sliceState) owns() bool {
	return sliceState.history != nil && sliceState.owner().Incarnation == sliceState.self()
}

// isOnlyMember reports whether the view has no other member that could be a witness.
func (sliceState *sliceState) isOnlyMember() bool {
	return len(sliceState.history.current.view.Members) == 1
}

// reachableMember returns the member or departing member with the incarnation, unless it is suspected.
func (sliceState *sliceState) reachableMember(holder string) (Member, bool) {
	if sliceState.history == nil || sliceState.keeper.suspected(holder) {
		return Member{}, false
	}
	current := sliceState.history.current
	if member, found := findMember(current.view.Members, holder); found {
		return member, true
	}
	return findMember(current.view.Departing, holder)
}

// hasLeft reports whether the holder is neither a member nor a departing member of the current view, so that it will
// not report the outcomes of its jobs.
func (sliceState *sliceState) hasLeft(holder string) bool {
	return holder != sliceState.self() && sliceState.history != nil && !sliceState.history.current.includes(holder)
}

// isSettled reports whether the record is final or its holder has left, so that no change of it is expected.
func (sliceState *sliceState) isSettled(record *record) bool {
	switch record.state {
	case StateFinished, StateFailed, StateCancelled:
		return true
	default:
		return sliceState.hasLeft(record.holder)
	}
}

// scheduleBy makes HandleDeadlines process the slice at the given time or before.
func (sliceState *sliceState) scheduleBy(at time.Time) {
	if nanoseconds := at.UnixNano(); nanoseconds < sliceState.nextDeadline.Load() {
		sliceState.nextDeadline.Store(nanoseconds)
	}
}
