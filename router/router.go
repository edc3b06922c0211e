package router

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Router chooses targets for the tasks of one service; it is safe for concurrent use.
type Router struct {
	config  Config
	caution float64

	mu        sync.Mutex
	random    *rand.PCG
	targets   map[string]*target
	snapshot  []*target // the targets in the order of the last snapshot, so that a seed gives the same choices
	version   uint32    // number of the last snapshot
	own       list      // targets with room within the share
	lent      list      // targets with room beyond the share only
	ejected   []*target
	trialAt   int64 // earliest time at which a trial is due
	turn      uint64
	kinds     []kind
	kindByID  map[string]int32
	mean      float64 // run time of all kinds, nanoseconds
	failures  float64 // moving average of failures on all targets, 0 to 1
	available int32   // own slots on targets that may get work
	inFlight  int
}

// New returns a router without targets.
func New(config Config) *Router {
	if config.Policy == nil {
		config.Policy = LeastExpectedCompletion{}
	}
	if config.Share == (Share{}) {
		config.Share = Share{high: 1}
	}
	return &Router{
		config:   config,
		caution:  caution(config.ResponseTimeWeight, config.WastedMessageWeight),
		random:   rand.NewPCG(config.Seed, 0x9e3779b97f4a7c15),
		targets:  make(map[string]*target),
		kindByID: make(map[string]int32),
		trialAt:  never,
		mean:     float64(defaultRunTime),
	}
}

// Update replaces the snapshot of targets; what was learned of targets that stay is kept.
//
// A target that Leave named stays without new work for some time even if the
// snapshot does not show it as leaving, because the snapshot's sources lag.
func (router *Router) Update(targets []Target, now time.Time) {
	router.mu.Lock()
	defer router.mu.Unlock()
	nanos := now.UnixNano()
	router.version++
	before := router.snapshot
	router.snapshot = make([]*target, 0, len(targets))
	for _, listed := range targets {
		known, ok := router.targets[listed.name]
		if !ok {
			known = newTarget()
			router.targets[listed.name] = known
		}
		router.snapshot = append(router.snapshot, known)
		known.version = router.version
		known.Target = listed
		known.share = router.config.Share.of(listed)
		if listed.leaving {
			known.leavingUntil = never
			router.restore(known) // an ejected target would get trials
		} else if known.leavingUntil == never || known.leavingUntil <= nanos {
			known.leavingUntil = 0
		}
		router.place(known)
	}
	for _, known := range before {
		if known.version != router.version {
			known.gone = true
			router.restore(known)
			router.place(known)
			delete(router.targets, known.name)
		}
	}
	for len(router.ejected) > router.maxEjected() {
		oldest := router.ejected[0]
		router.restore(oldest)
		router.place(oldest)
	}
}

// SetShare changes this instance's part of the slots, as a new view does.
func (router *Router) SetShare(share Share) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.config.Share = share
	for _, target := range router.snapshot {
		target.share = share.of(target.Target)
		router.place(target)
	}
}

// SetWeights changes the bundle's response-time-weight and wasted-message-weight.
func (router *Router) SetWeights(responseTime, wastedMessage float64) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.caution = caution(responseTime, wastedMessage)
}

func caution(responseTime, wastedMessage float64) float64 {
	if sum := responseTime + wastedMessage; sum > 0 {
		return wastedMessage / sum
	}
	return 0.5
}

// MarkLeaving marks the target named name as leaving: it gets nothing new until a later snapshot clears it.
func (router *Router) MarkLeaving(name string, now time.Time) {
	router.mu.Lock()
	defer router.mu.Unlock()
	if target, ok := router.targets[name]; ok {
		router.leave(target, now.UnixNano())
	}
}

func (router *Router) leave(target *target, now int64) {
	target.leavingUntil = max(target.leavingUntil, now+int64(leaveHold))
	router.restore(target)
	router.place(target)
}

// InFlight returns how many choices have not come back to Done.
func (router *Router) InFlight() int {
	router.mu.Lock()
	defer router.mu.Unlock()
	return router.inFlight
}

// Ejected returns how many targets are ejected.
func (router *Router) Ejected() int {
	router.mu.Lock()
	defer router.mu.Unlock()
	return len(router.ejected)
}
