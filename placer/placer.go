package placer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Worker is a target that runs tasks under leases.
type Worker struct {
	name  string
	rack  string
	total Resources
}

// NewWorker returns a worker named name in the given rack with the given total resources.
func NewWorker(name, rack string, total Resources) Worker {
	return Worker{name: name, rack: rack, total: total}
}

// Name returns the worker's name.
func (worker Worker) Name() string { return worker.name }

// Rack returns the rack that the worker is in.
func (worker Worker) Rack() string { return worker.rack }

// Total returns the worker's total resources.
func (worker Worker) Total() Resources { return worker.total }

// Decision is the result of Place: Placed, Full or Impossible.
type Decision interface{ isDecision() }

// Placed means that the resources were reserved on a worker; it must be passed to Release.
type Placed struct {
	worker  Worker
	granted Resources
	id      uint64
}

// Full means that the task fits on some worker, but none that is not suspended has enough free capacity now.
type Full struct{}

// Impossible means that the task is larger than every worker.
type Impossible struct{ largest Resources }

func (Placed) isDecision()     {}
func (Full) isDecision()       {}
func (Impossible) isDecision() {}

// Worker returns the chosen worker.
func (placed Placed) Worker() Worker { return placed.worker }

// Granted returns the resources to request in the lease.
func (placed Placed) Granted() Resources { return placed.granted }

// Largest returns the largest total resources of any worker, separately for each dimension.
func (impossible Impossible) Largest() Resources { return impossible.largest }

// Result is how a placed task ended: Done, ResourcesExceeded, Failed or NotStarted.
type Result interface{ isResult() }

// Done means that the task ended on its own, with the peak usage that the worker reported.
type Done struct{ peak Resources }

// ResourcesExceeded means that the worker throttled, checkpointed or stopped the task for exceeding its resources.
type ResourcesExceeded struct{ peak Resources }

// Failed means that the task failed on its worker for a reason other than its resources.
type Failed struct{}

// NotStarted means that the task did not run, so that its resources and the state of its worker cannot be inferred.
type NotStarted struct{}

func (Done) isResult()              {}
func (ResourcesExceeded) isResult() {}
func (Failed) isResult()            {}
func (NotStarted) isResult()        {}

// NewDone returns the result of a task that ended on its own with the given peak usage.
func NewDone(peak Resources) Done { return Done{peak: peak} }

// NewResourcesExceeded returns the result of a task that exceeded its resources with the given peak usage.
func NewResourcesExceeded(peak Resources) ResourcesExceeded { return ResourcesExceeded{peak: peak} }

// workerState is the placer's state of one worker.
type workerState struct {
	Worker
	reserved Resources
	// otherUsage is the last reported usage by tasks of other instances; it is valid until otherUsageUntil.
	otherUsage      Resources
	otherUsageUntil time.Time
	// suspendedUntil is the time from which the worker gets tasks again.
	suspendedUntil      time.Time
	consecutiveFailures int
}

// free returns the resources that are neither reserved nor known to be used by other instances.
func (workerState *workerState) free(now time.Time) Resources {
	free := workerState.total.subtract(workerState.reserved)
	if now.Before(workerState.otherUsageUntil) {
		free = free.subtract(workerState.otherUsage)
	}
	return free
}

func (workerState *workerState) suspended(now time.Time) bool {
	return now.Before(workerState.suspendedUntil)
}

// reservation holds the resources reserved on a worker for one task.
type reservation struct {
	worker  string
	kind    string
	granted Resources
}

// Placer places tasks on the workers of one service; it is safe for concurrent use.
type Placer struct {
	mu           sync.Mutex
	states       []*workerState // sorted by the rack and the name of the worker
	byName       map[string]*workerState
	estimates    map[string]*resourceEstimate
	reservations map[uint64]reservation
	lastID       uint64
	largest      Resources              // of any worker, separately for each dimension
	lastRacks    map[string]string      // by kind
	racks        map[string]workerRange // by name of the rack
	random       *rand.Rand
}

// workerRange is the range of a rack's workers in Placer.states.
type workerRange struct{ begin, end int }

// sampleSize is the number of random workers compared for one task; a full scan of 2,000 workers took 23
// microseconds.
const sampleSize = 8

// New returns a placer without workers that draws its samples from random.
func New(random *rand.Rand) *Placer {
	return &Placer{
		random:       random,
		byName:       make(map[string]*workerState),
		estimates:    make(map[string]*resourceEstimate),
		lastRacks:    make(map[string]string),
		reservations: make(map[uint64]reservation),
	}
}

// Update replaces the set of workers; reservations on workers that stay are kept.
func (placer *Placer) Update(workers []Worker) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	old := placer.byName
	placer.byName = make(map[string]*workerState, len(workers))
	placer.states = placer.states[:0]
	placer.largest = Resources{}
	for _, worker := range workers {
		state := &workerState{Worker: worker}
		if previous := old[worker.name]; previous != nil {
			*state = *previous
			state.Worker = worker
		}
		placer.byName[worker.name] = state
		placer.states = append(placer.states, state)
		placer.largest = placer.largest.Maximum(worker.total)
	}
	// Sorting by rack makes the workers of a rack a contiguous range, so that a job can fill one rack before the next.
	slices.SortFunc(placer.states, func(a, b *workerState) int {
		return cmp.Or(strings.Compare(a.rack, b.rack), strings.Compare(a.name, b.name))
	})
	placer.racks = make(map[string]workerRange)
	for i, workerState := range placer.states {
		rack, ok := placer.racks[workerState.rack]
		if !ok {
			rack.begin = i
		}
		rack.end = i + 1
		placer.racks[workerState.rack] = rack
	}
}

// ReportUsage records the usage that a worker reported. Usage beyond this instance's reservations is attributed to
// other instances and counts as in use until the given time, by which the tasks that cause it have probably ended.
func (placer *Placer) ReportUsage(worker string, used Resources, until time.Time) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	if state := placer.byName[worker]; state != nil {
		state.otherUsage, state.otherUsageUntil = used.subtract(state.reserved).Maximum(Resources{}), until
	}
}

// Suspend keeps new tasks off a worker until the given time.
func (placer *Placer) Suspend(worker string, until time.Time) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	if state := placer.byName[worker]; state != nil {
		state.suspendedUntil = until
	}
}

// Place reserves resources for one task of kind. It prefers nearRack, if not empty, because a job whose tasks share a
// rack is affected by the failure of fewer racks.
func (placer *Placer) Place(kind string, declared Resources, nearRack string, now time.Time) Decision {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	request := placer.estimate(kind).request(declared)
	if !placer.fitsAnyWorker(request) {
		// The estimate may exceed every worker although the task was declared smaller. The request is then reduced, so
		// that the task can still run, and the worker enforces its limits.
		request = placer.reduce(request, declared)
	}
	best := placer.chooseWorker(request, nearRack, now)
	if best == nil && !placer.fitsAnyWorker(request) {
		return Impossible{largest: placer.largest}
	}
	if best == nil {
		return Full{}
	}
	best.reserved = best.reserved.add(request)
	placer.lastRacks[kind] = best.rack
	placer.lastID++
	placer.reservations[placer.lastID] = reservation{worker: best.name, kind: kind, granted: request}
	return Placed{worker: best.Worker, granted: request, id: placer.lastID}
}

// reduce returns the request reduced to the worker with the most cores on which the declared resources fit, or the
// unchanged request if there is none.
func (placer *Placer) reduce(request, declared Resources) Resources {
	var largest *workerState
	for _, state := range placer.states {
		if declared.Fits(state.total) && (largest == nil || state.total.MilliCores > largest.total.MilliCores) {
			largest = state
		}
	}
	if largest == nil {
		return request
	}
	return request.minimum(largest.total)
}

// LastRack returns the rack where the last task of kind was placed, or an empty string.
func (placer *Placer) LastRack(kind string) string {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	return placer.lastRacks[kind]
}

// FitsAnyWorker reports whether a task with the declared resources fits on any worker when that is idle.
func (placer *Placer) FitsAnyWorker(declared Resources) bool {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	return placer.fitsAnyWorker(declared)
}

func (placer *Placer) fitsAnyWorker(request Resources) bool {
	return slices.ContainsFunc(placer.states, func(workerState *workerState) bool { return request.Fits(workerState.total) })
}

// chooseWorker returns a worker that has enough free capacity and is not suspended, or nil. It checks the near rack
// first, then a random sample, and all workers only if neither has such a worker.
func (placer *Placer) chooseWorker(request Resources, nearRack string, now time.Time) *workerState {
	near := placer.racks[nearRack]
	best := leastLoaded(nil, placer.states[near.begin:near.end], request, now)
	if best != nil {
		return best
	}
	if len(placer.states) > sampleSize {
		for range sampleSize {
			i := placer.random.IntN(len(placer.states))
			best = leastLoaded(best, placer.states[i:i+1], request, now)
		}
		if best != nil {
			return best
		}
	}
	return leastLoaded(nil, placer.states, request, now)
}

// leastLoaded returns the worker with the largest free CPU share among best, which may be nil, and those of states
// that have enough free capacity and are not suspended.
func leastLoaded(best *workerState, states []*workerState, request Resources, now time.Time) *workerState {
	for _, workerState := range states {
		free := workerState.free(now)
		if workerState.suspended(now) || !request.Fits(free) {
			continue
		}
		if best == nil || freeCPUShare(workerState, free) > freeCPUShare(best, best.free(now)) {
			best = workerState
		}
	}
	return best
}

// freeCPUShare returns the free part of a worker's processor time in millionths, which makes workers of different
// capacity comparable.
func freeCPUShare(state *workerState, free Resources) int64 {
	return free.MilliCores * 1_000_000 / max(state.total.MilliCores, 1)
}

// Release ends the reservation of a placed task and updates the state of its worker and the resource estimate of its
// kind with the result. A second call has no effect.
func (placer *Placer) Release(placed Placed, result Result, now time.Time) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	held, ok := placer.reservations[placed.id]
	if !ok {
		return
	}
	delete(placer.reservations, placed.id)
	state := placer.byName[held.worker]
	if state == nil {
		state = &workerState{}
	}
	state.reserved = state.reserved.subtract(held.granted)
	switch result := result.(type) {
	case Done:
		state.consecutiveFailures = 0
		placer.estimate(held.kind).observe(result.peak)
	case ResourcesExceeded:
		placer.estimate(held.kind).observeExceeded(held.granted, result.peak)
	case Failed:
		placer.recordFailure(state, now)
	case NotStarted:
	}
}

const (
	// failuresToSuspend is the number of consecutive failures after which a worker is assumed to fail every task.
	failuresToSuspend = 3
	// suspendInterval is the time for which such a worker gets no tasks; afterwards one more failure suspends it again.
	suspendInterval = 10 * time.Second
	// maxSuspendedPercent bounds the workers suspended at once; if more fail, the tasks are more likely at fault.
	maxSuspendedPercent = 30
)

// recordFailure suspends a worker after failuresToSuspend consecutive failures, so that a worker that fails fast does
// not attract tasks.
func (placer *Placer) recordFailure(state *workerState, now time.Time) {
	state.consecutiveFailures++
	if state.consecutiveFailures < failuresToSuspend {
		return
	}
	suspended := 0
	for _, workerState := range placer.states {
		if workerState.suspended(now) {
			suspended++
		}
	}
	if (suspended+1)*100 <= maxSuspendedPercent*len(placer.states) {
		state.suspendedUntil = now.Add(suspendInterval)
	}
}

// estimate returns the resource estimate of kind; the caller holds placer.mu.
func (placer *Placer) estimate(kind string) *resourceEstimate {
	estimate := placer.estimates[kind]
	if estimate == nil {
		estimate = &resourceEstimate{}
		placer.estimates[kind] = estimate
	}
	return estimate
}
