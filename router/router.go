package router

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Router chooses targets for the tasks of one service; it is safe for concurrent use.
type Router struct {
	config      Config
	wasteWeight float64 // relative weight of wasted messages, 0 to 1

	mu                sync.Mutex
	random            *rand.PCG
	targets           map[string]*target
	snapshot          []*target  // targets in the order of the last snapshot, so that a seed gives the same choices
	version           uint32     // number of the last snapshot
	own               targetList // targets with free slots within the share
	borrowable        targetList // targets with free slots only beyond the share
	ejected           []*target
	trialAt           int64 // earliest time at which a trial is due
	roundRobinCounter uint64
	kinds             []kindStats
	kindIDs           map[string]int32
	meanRunTime       float64 // run time of all kinds, nanoseconds
	failureRate       float64 // moving average of failures on all targets, 0 to 1
	availableShare    int32   // slots within the share on targets that may get tasks
	inFlight          int
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
		config:      config,
		wasteWeight: wasteWeight(config.ResponseTimeWeight, config.WastedMessageWeight),
		random:      rand.NewPCG(config.Seed, 0x9e3779b97f4a7c15),
		targets:     make(map[string]*target),
		kindIDs:     make(map[string]int32),
		trialAt:     never,
		meanRunTime: float64(defaultRunTime),
	}
}

// Update replaces the snapshot of targets; the statistics of targets that stay are kept.
//
// A target passed to MarkLeaving gets no new tasks for minLeavingInterval even if
// the snapshot does not show it as leaving, because the snapshot may be stale.
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
		known.share = router.config.Share.slotsOf(listed)
		if listed.leaving {
			known.leavingUntil = never
			router.restore(known) // otherwise an ejected target would get trials
		} else if known.leavingUntil == never || known.leavingUntil <= nanos {
			known.leavingUntil = 0
		}
		router.reindex(known)
	}
	for _, known := range before {
		if known.version != router.version {
			known.removed = true
			router.restore(known)
			router.reindex(known)
			delete(router.targets, known.name)
		}
	}
	for len(router.ejected) > router.maxEjected() {
		oldest := router.ejected[0]
		router.restore(oldest)
		router.reindex(oldest)
	}
}

// SetShare changes this instance's share of the slots, as after a change of the view.
func (router *Router) SetShare(share Share) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.config.Share = share
	for _, target := range router.snapshot {
		target.share = share.slotsOf(target.Target)
		router.reindex(target)
	}
}

// SetWeights changes the bundle's response-time-weight and wasted-message-weight.
func (router *Router) SetWeights(responseTime, wastedMessage float64) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.wasteWeight = wasteWeight(responseTime, wastedMessage)
}

// wasteWeight returns the weight of wasted messages relative to the sum of both weights, or 0.5 if both are 0.
func wasteWeight(responseTime, wastedMessage float64) float64 {
	if sum := responseTime + wastedMessage; sum > 0 {
		return wastedMessage / sum
	}
	return 0.5
}

// MarkLeaving marks the target named name as leaving. It gets no new tasks until an Update lists it as not leaving.
// Within minLeavingInterval such an Update is ignored as stale, unless an earlier one listed the target as leaving.
func (router *Router) MarkLeaving(name string, now time.Time) {
	router.mu.Lock()
	defer router.mu.Unlock()
	if target, ok := router.targets[name]; ok {
		router.markLeaving(target, now.UnixNano())
	}
}

func (router *Router) markLeaving(target *target, now int64) {
	target.leavingUntil = max(target.leavingUntil, now+int64(minLeavingInterval))
	router.restore(target)
	router.reindex(target)
}

// TasksInFlight returns the number of choices that have not been passed to Done.
func (router *Router) TasksInFlight() int {
	router.mu.Lock()
	defer router.mu.Unlock()
	return router.inFlight
}

// Ejected returns the number of ejected targets.
func (router *Router) Ejected() int {
	router.mu.Lock()
	defer router.mu.Unlock()
	return len(router.ejected)
}
