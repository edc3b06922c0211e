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
	free      []*target // targets with room, in no order
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
		config.Policy = LeastExpected{}
	}
	if config.Share == (Share{}) {
		config.Share = Share{high: 1}
	}
	caution := 0.5
	if sum := config.ResponseTimeWeight + config.WastedMessageWeight; sum > 0 {
		caution = config.WastedMessageWeight / sum
	}
	return &Router{
		config:   config,
		caution:  caution,
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
	seen := make(map[string]bool, len(targets))
	for _, snapshot := range targets {
		seen[snapshot.name] = true
		known, ok := router.targets[snapshot.name]
		if !ok {
			known = newTarget()
			router.targets[snapshot.name] = known
		}
		known.Target = snapshot
		known.share = router.config.Share.of(snapshot)
		if snapshot.leaving {
			known.leavingUntil = never
			router.restore(known) // an ejected target would get trials
		} else if known.leavingUntil == never || known.leavingUntil <= nanos {
			known.leavingUntil = 0
		}
		router.place(known)
	}
	for name, known := range router.targets {
		if !seen[name] {
			known.gone = true
			router.restore(known)
			router.place(known)
			delete(router.targets, name)
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
	for _, target := range router.targets {
		target.share = share.of(target.Target)
		router.place(target)
	}
}

// Leave marks the target named name as leaving: it gets nothing new until a later snapshot clears it.
func (router *Router) Leave(name string, now time.Time) {
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
