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

// Limits bounds the keeper's memory and waiting times.
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
	// member is reported by Silent.
	SyncTimeout time.Duration
	// OutcomeInterval is how long ended jobs are collected before their witnesses are told.
	OutcomeInterval time.Duration
}

// Keeper decides the starts of one instance's slices; its methods are safe for concurrent use.
type Keeper struct {
	self    Member
	domain  string
	limits  Limits
	started time.Time

	shards    [SliceCount]*shard
	confirmer *confirmer
	outbox    *outbox
	// place is stored before any shard adopts it (see receiveConfirm).
	place    atomic.Pointer[position]
	suspects atomic.Pointer[map[string]bool]
	count    atomic.Int64
	tickets  atomic.Uint64
	// serving has a bit for each slice that this instance owns and has synced.
	serving atomic.Uint64
	// handed has a bit for each slice whose owner has synced, on a departing member.
	handed atomic.Uint64
	issued atomic.Uint64

	// chainMutex serialises Adopt; it guards chain, adopted and announceDue.
	chainMutex  sync.Mutex
	chain       chain
	adopted     time.Time
	announceDue time.Time

	// deferMutex guards deferred, the requests of members that have read more of the log.
	deferMutex sync.Mutex
	deferred   map[string]SyncRequest

	// accountMutex guards accounted, the views that every live incarnation is known to have adopted.
	accountMutex sync.Mutex
	accounted    []accountedView

	// suspectMutex serialises Suspect and Restore.
	suspectMutex sync.Mutex
}

// New returns a keeper without a view; until it has adopted one it starts only solo keys.
func New(self Member, domain string, limits Limits, now time.Time) *Keeper {
	keeper := &Keeper{self: self, domain: domain, limits: limits, started: now, deferred: map[string]SyncRequest{}}
	keeper.confirmer = &confirmer{keeper: keeper}
	keeper.outbox = &outbox{keeper: keeper, trays: map[string]*tray{}}
	keeper.suspects.Store(&map[string]bool{})
	for slice := range SliceCount {
		keeper.shards[slice] = &shard{
			keeper: keeper, slice: slice,
			records: map[string]*record{}, attempts: map[string]*attempt{},
			held: heldAnswers{limit: limits.MaxAnswerBytes / SliceCount},
		}
		keeper.shards[slice].due.Store(math.MaxInt64)
	}
	return keeper
}

// View returns the number of the current view and the view, or NoView; callers must not change its slices.
func (keeper *Keeper) View() (int64, View) {
	place := keeper.place.Load()
	if place == nil {
		return NoView, View{}
	}
	return place.number(), place.current.view
}

// Owner returns the owner of a slice in the current view, and whether there is a view.
func (keeper *Keeper) Owner(slice int) (Member, bool) {
	place := keeper.place.Load()
	if place == nil {
		return Member{}, false
	}
	return place.current.owner(slice), true
}

// RecordCount returns the number of records in the table, both own ones and copies.
func (keeper *Keeper) RecordCount() int { return int(keeper.count.Load()) }

// Receive handles a message from the member with the given incarnation.
func (keeper *Keeper) Receive(from string, message Message, now time.Time) ([]Event, []Outgoing) {
	var effects effects
	sender := keeper.member(from)
	switch message := message.(type) {
	case Record:
		keeper.withShard(message.Key, func(shard *shard, key Key) { shard.receiveRecord(sender, key, message, now, &effects) })
	case RecordAck:
		keeper.withShard(message.Key, func(shard *shard, _ Key) { shard.receiveAck(from, message, &effects) })
	case RecordRefused:
		keeper.withShard(message.Key, func(shard *shard, _ Key) { shard.receiveRefused(from, message, now, &effects) })
	case Withdraw:
		keeper.withShard(message.Key, func(shard *shard, _ Key) { shard.receiveWithdraw(from, message) })
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
			keeper.withShard(ended.Key, func(shard *shard, key Key) { shard.receiveOutcome(key, ended, now) })
		}
		effects.send(sender, OutcomeAck{Sequence: message.Sequence})
	case OutcomeAck:
		keeper.outbox.receiveAck(from, message, now)
	}
	return effects.events, effects.outgoing
}

// withShard runs act under the lock of the key's shard; a key that does not parse is ignored.
func (keeper *Keeper) withShard(text string, act func(*shard, Key)) {
	key, err := ParseKey(text)
	if err != nil {
		return
	}
	shard := keeper.shards[key.slice]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	act(shard, key)
}

// member returns the member with the incarnation, or only the incarnation if the view does not hold it; links
// are found by incarnation.
func (keeper *Keeper) member(incarnation string) Member {
	if place := keeper.place.Load(); place != nil {
		if member, found := find(place.current.view.Members, incarnation); found {
			return member
		}
		if member, found := find(place.current.view.Departing, incarnation); found {
			return member
		}
	}
	return Member{Incarnation: incarnation}
}

// others returns the other members of a view, without those suspected unless all are.
func (keeper *Keeper) others(place *position) []Member {
	if place == nil {
		return nil
	}
	var others, suspected []Member
	for _, member := range place.current.view.Members {
		switch {
		case member.Incarnation == keeper.self.Incarnation:
		case keeper.suspected(member.Incarnation):
			suspected = append(suspected, member)
		default:
			others = append(others, member)
		}
	}
	if len(others) == 0 {
		return suspected
	}
	return others
}

// Suspect makes the keeper prefer other members to this one until Restore.
func (keeper *Keeper) Suspect(incarnation string) { keeper.setSuspect(incarnation, true) }

// ClearSuspicion revokes a suspicion.
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

func (keeper *Keeper) ticket() uint64 { return keeper.tickets.Add(1) }

func (keeper *Keeper) full() bool { return keeper.count.Load() >= int64(keeper.limits.MaxRecords) }
