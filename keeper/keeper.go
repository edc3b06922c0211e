package keeper

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// SliceCount is the number of slices of a failure domain.
const SliceCount = 64

// Limits bounds the memory and the waiting times of a Keeper.
type Limits struct {
	// MaxRecords is the number of records above which new jobs are refused.
	MaxRecords int
	// MaxAnswerBytes bounds the complete answers kept for resubmissions, in bytes.
	MaxAnswerBytes int64
	// Retention is how long the answer to a plain key is kept, and the interval between renewals of the view.
	Retention time.Duration
	// MaxRun is the longest time from a start record to the end of its job.
	MaxRun time.Duration
	// AckTimeout is how long one witness, or one confirming member, may take to answer.
	AckTimeout time.Duration
	// SyncTimeout is how long a member may take to answer a sync request before it is sent again and the
	// member is reported by UnresponsiveMembers.
	SyncTimeout time.Duration
	// OutcomeInterval is how long outcomes are batched before they are sent to the witnesses.
	OutcomeInterval time.Duration
}

// Keeper decides which jobs of one instance's slices may start; its methods are safe for concurrent use.
type Keeper struct {
	self    Member
	domain  string
	limits  Limits
	started time.Time

	sliceStates [SliceCount]*sliceState
	confirmer   *confirmer
	outbox      *outbox
	// history is stored before any slice adopts it (see receiveConfirm).
	history     atomic.Pointer[viewHistory]
	suspects    atomic.Pointer[map[string]bool]
	recordCount atomic.Int64
	lastTicket  atomic.Uint64
	// serving has a bit for each slice that this instance owns and has synced.
	serving atomic.Uint64
	// handedOver has a bit for each slice whose owner has synced, on a departing member.
	handedOver     atomic.Uint64
	prefixesIssued atomic.Uint64

	// viewMutex serializes Adopt; it guards viewChain, adoptedAt and nextAnnouncement.
	viewMutex        sync.Mutex
	viewChain        viewChain
	adoptedAt        time.Time
	nextAnnouncement time.Time

	// deferMutex guards deferredSyncs, the requests of members that have read more of the log, by incarnation.
	deferMutex    sync.Mutex
	deferredSyncs map[string]SyncRequest

	// fullyAdoptedMutex guards fullyAdopted, the views that every live incarnation is known to have adopted,
	// oldest first.
	fullyAdoptedMutex sync.Mutex
	fullyAdopted      []fullyAdoptedView

	// suspectMutex serializes Suspect and ClearSuspicion.
	suspectMutex sync.Mutex
}

// New returns a keeper without a view; until it has adopted one it starts only jobs with solo keys.
func New(self Member, domain string, limits Limits, now time.Time) *Keeper {
	keeper := &Keeper{self: self, domain: domain, limits: limits, started: now, deferredSyncs: map[string]SyncRequest{}}
	keeper.confirmer = &confirmer{keeper: keeper}
	keeper.outbox = &outbox{keeper: keeper, queues: map[string]*outcomeQueue{}}
	keeper.suspects.Store(&map[string]bool{})
	for slice := range SliceCount {
		keeper.sliceStates[slice] = &sliceState{
			keeper: keeper, slice: slice,
			records: map[string]*record{}, attempts: map[string]*attempt{},
			answers: answerCache{limit: limits.MaxAnswerBytes / SliceCount},
		}
		keeper.sliceStates[slice].nextDeadline.Store(math.MaxInt64)
	}
	return keeper
}

// View returns the number of the current view and the view itself, or NoView and an empty view. Callers must
// not modify its Members and Departing.
func (keeper *Keeper) View() (int64, View) {
	history := keeper.history.Load()
	if history == nil {
		return NoView, View{}
	}
	return history.number(), history.current.view
}

// Owner returns the owner of a slice in the current view, and whether there is a view.
func (keeper *Keeper) Owner(slice int) (Member, bool) {
	history := keeper.history.Load()
	if history == nil {
		return Member{}, false
	}
	return history.current.owner(slice), true
}

// RecordCount returns the number of start records stored here, both own ones and copies for other members.
func (keeper *Keeper) RecordCount() int { return int(keeper.recordCount.Load()) }

// Receive handles a message from the member with the given incarnation.
func (keeper *Keeper) Receive(from string, message Message, now time.Time) ([]Event, []Outgoing) {
	var effects effects
	sender := keeper.member(from)
	switch message := message.(type) {
	case Record:
		keeper.withSliceState(message.Key, func(sliceState *sliceState, key Key) { sliceState.receiveRecord(sender, key, message, now, &effects) })
	case RecordAck:
		keeper.withSliceState(message.Key, func(sliceState *sliceState, _ Key) { sliceState.receiveAck(from, message, &effects) })
	case RecordRefused:
		keeper.withSliceState(message.Key, func(sliceState *sliceState, _ Key) { sliceState.receiveRefused(from, message, now, &effects) })
	case Withdraw:
		keeper.withSliceState(message.Key, func(sliceState *sliceState, _ Key) { sliceState.receiveWithdraw(from, message) })
	case Confirm:
		keeper.receiveConfirm(sender, message, &effects)
	case ConfirmAck:
		keeper.confirmer.receiveAck(from, message, now, &effects)
	case ConfirmRefused:
		keeper.confirmer.receiveRefused(from, message, now)
	case SyncRequest:
		keeper.receiveSyncRequest(sender, message, &effects)
	case SyncResponse:
		keeper.receiveSyncResponse(from, message, now, &effects)
	case Synced:
		keeper.receiveSynced(message)
	case OutcomeBatch:
		for _, ended := range message.Outcomes {
			keeper.withSliceState(ended.Key, func(sliceState *sliceState, key Key) { sliceState.receiveOutcome(key, ended, now) })
		}
		effects.send(sender, OutcomeAck{Sequence: message.Sequence})
	case OutcomeAck:
		keeper.outbox.receiveAck(from, message, now)
	}
	return effects.events, effects.outgoing
}

// withSliceState calls act with the state of the key's slice locked; a key that does not parse is ignored.
func (keeper *Keeper) withSliceState(text string, act func(*sliceState, Key)) {
	key, err := ParseKey(text)
	if err != nil {
		return
	}
	sliceState := keeper.sliceStates[key.slice]
	sliceState.mutex.Lock()
	defer sliceState.mutex.Unlock()
	act(sliceState, key)
}

// member returns the member or departing member with the incarnation. If the view has none, the result holds
// only the incarnation, which suffices to send a message.
func (keeper *Keeper) member(incarnation string) Member {
	if history := keeper.history.Load(); history != nil {
		if member, found := findMember(history.current.view.Members, incarnation); found {
			return member
		}
		if member, found := findMember(history.current.view.Departing, incarnation); found {
			return member
		}
	}
	return Member{Incarnation: incarnation}
}

// candidates returns the other members of the current view that are not suspected, or all others if every one
// is suspected.
func (keeper *Keeper) candidates(history *viewHistory) []Member {
	if history == nil {
		return nil
	}
	var candidates, suspected []Member
	for _, member := range history.current.view.Members {
		switch {
		case member.Incarnation == keeper.self.Incarnation:
		case keeper.suspected(member.Incarnation):
			suspected = append(suspected, member)
		default:
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		return suspected
	}
	return candidates
}

// Suspect makes the keeper prefer other members to the given one until ClearSuspicion. Meanwhile the keeper forwards no
// requests to it as the holder of a record, and ends a sync without its answer if it is departing.
func (keeper *Keeper) Suspect(incarnation string) { keeper.setSuspect(incarnation, true) }

// ClearSuspicion ends the effect of Suspect.
func (keeper *Keeper) ClearSuspicion(incarnation string) { keeper.setSuspect(incarnation, false) }

func (keeper *Keeper) setSuspect(incarnation string, suspected bool) {
	keeper.suspectMutex.Lock()
	defer keeper.suspectMutex.Unlock()
	if keeper.suspected(incarnation) == suspected {
		return
	}
	changed := maps.Clone(*keeper.suspects.Load())
	if suspected {
		changed[incarnation] = true
	} else {
		delete(changed, incarnation)
	}
	keeper.suspects.Store(&changed)
}

func (keeper *Keeper) suspected(incarnation string) bool {
	return (*keeper.suspects.Load())[incarnation]
}

// ticket returns a new number, unique in this keeper, for a waiting decision or a sync request.
func (keeper *Keeper) ticket() uint64 { return keeper.lastTicket.Add(1) }

func (keeper *Keeper) tableFull() bool {
	return keeper.recordCount.Load() >= int64(keeper.limits.MaxRecords)
}
