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

// NewWorker returns a worker named name in rack with the given total size.
func NewWorker(name, rack string, total Resources) Worker {
	return Worker{name: name, rack: rack, total: total}
}

// Name returns the worker's name.
func (worker Worker) Name() string { return worker.name }

// Rack returns the rack that the worker is in.
func (worker Worker) Rack() string { return worker.rack }

// Total returns the worker's size.
func (worker Worker) Total() Resources { return worker.total }

// Decision is the answer to a request for a place: Placed, Full or Impossible.
type Decision interface{ isVerdict() }

// Placed means that room was reserved on a worker.
type Placed struct {
	worker  Worker
	granted Resources
	id      uint64
}

// Full means that the task fits on a worker, but on none at this time.
type Full struct{}

// Impossible means that no worker, even an idle one, is large enough.
type Impossible struct{ largest Resources }

func (Placed) isVerdict()     {}
func (Full) isVerdict()       {}
func (Impossible) isVerdict() {}

// Worker returns the chosen worker.
func (placed Placed) Worker() Worker { return placed.worker }

// Granted returns the size to ask for in the lease.
func (placed Placed) Granted() Resources { return placed.granted }

// Largest returns the largest size on offer in each dimension.
func (impossible Impossible) Largest() Resources { return impossible.largest }

// Result is how a placed task ended: Done, Guarded or Unstarted.
type Result interface{ isEnding() }

// Done means that the task ended on its own, with the peak usage that the worker reported.
type Done struct{ peak Resources }

// ResourcesExceeded means that the worker throttled, checkpointed or stopped the task for exceeding its size.
type ResourcesExceeded struct{ peak Resources }

// Failed means that the task failed on its worker for another reason than its size.
type Failed struct{}

// NotStarted means that the task gave no information on its size or its worker.
type NotStarted struct{}

func (Done) isEnding()              {}
func (ResourcesExceeded) isEnding() {}
func (Failed) isEnding()            {}
func (NotStarted) isEnding()        {}

// NewDone returns an ending with the given peak usage.
func NewDone(peak Resources) Done { return Done{peak: peak} }

// NewResourcesExceeded returns an ending by the guard with the given peak usage.
func NewResourcesExceeded(peak Resources) ResourcesExceeded { return ResourcesExceeded{peak: peak} }

// seat is the placer's account of one worker.
type seat struct {
	Worker
	reserved Resources
	// foreign is the usage of other instances' tasks, as last reported, until foreignEnd.
	foreign    Resources
	foreignEnd time.Time
	// closedEnd is when the worker gets tasks again; failures counts those in a row.
	closedEnd time.Time
	failures  int
}

func (seat *seat) room(now time.Time) Resources {
	room := seat.total.subtract(seat.reserved)
	if now.Before(seat.foreignEnd) {
		room = room.subtract(seat.foreign)
	}
	return room
}

func (seat *seat) closed(now time.Time) bool { return now.Before(seat.closedEnd) }

// reservation is room held for one task.
type reservation struct {
	worker  string
	kind    string
	granted Resources
}

// Placer places tasks on the workers of one service; it is safe for concurrent use.
type Placer struct {
	mu           sync.Mutex
	seats        []*seat
	byName       map[string]*seat
	estimates    map[string]*sizeEstimate
	reservations map[uint64]reservation
	lastID       uint64
	largest      Resources
	lastRacks    map[string]string
	racks        map[string]span
	random       *rand.Rand
}

// span is the range of a rack's workers in the sorted list.
type span struct{ low, high int }

// sampleSize is the number of workers looked at for one task; on 2,000 workers a full scan took 23 microseconds.
const sampleSize = 8

// New returns a placer without workers that draws its samples from random.
func New(random *rand.Rand) *Placer {
	return &Placer{
		random:       random,
		byName:       make(map[string]*seat),
		estimates:    make(map[string]*sizeEstimate),
		lastRacks:    make(map[string]string),
		reservations: make(map[uint64]reservation),
	}
}

// Update replaces the set of workers; reservations on workers that stay are kept.
func (placer *Placer) Update(workers []Worker) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	old := placer.byName
	placer.byName = make(map[string]*seat, len(workers))
	placer.seats = placer.seats[:0]
	placer.largest = Resources{}
	for _, worker := range workers {
		entry := &seat{Worker: worker}
		if previous := old[worker.name]; previous != nil {
			*entry = *previous
			entry.Worker = worker
		}
		placer.byName[worker.name] = entry
		placer.seats = append(placer.seats, entry)
		placer.largest = placer.largest.Maximum(worker.total)
	}
	// Racks stay together so that a job fills one rack before the next.
	slices.SortFunc(placer.seats, func(a, b *seat) int {
		return cmp.Or(strings.Compare(a.rack, b.rack), strings.Compare(a.name, b.name))
	})
	placer.racks = make(map[string]span)
	for i, seat := range placer.seats {
		rack, ok := placer.racks[seat.rack]
		if !ok {
			rack.low = i
		}
		rack.high = i + 1
		placer.racks[seat.rack] = rack
	}
}

// ReportUsage takes a worker's usage, which holds until end; usage beyond the own reservations is held to be other
// instances'. Later than end it would describe tasks that have long ended.
func (placer *Placer) ReportUsage(worker string, used Resources, end time.Time) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	if entry := placer.byName[worker]; entry != nil {
		entry.foreign, entry.foreignEnd = used.subtract(entry.reserved).Maximum(Resources{}), end
	}
}

// Suspend keeps new tasks from a worker until end.
func (placer *Placer) Suspend(worker string, end time.Time) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	if entry := placer.byName[worker]; entry != nil {
		entry.closedEnd = end
	}
}

// Place reserves room for one task of kind; nearRack, if not empty, is preferred, because a job whose tasks
// share a rack is lost to the failure of fewer racks.
func (placer *Placer) Place(kind string, declared Resources, nearRack string, now time.Time) Decision {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	request := placer.estimate(kind).request(declared)
	if declared.Fits(placer.largest) {
		// What was learned beyond the largest worker cannot be had; the guard decides about such a task.
		request = request.minimum(placer.largest)
	}
	best := placer.choose(request, nearRack, now)
	if best == nil && !placer.fitsIdle(request) {
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

// LastRack returns the rack where the last task of kind was placed, or an empty string.
func (placer *Placer) LastRack(kind string) string {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	return placer.lastRacks[kind]
}

// FitsAnyWorker reports whether a task of the declared size fits on any worker that is idle.
func (placer *Placer) FitsAnyWorker(declared Resources) bool {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	return placer.fitsIdle(declared)
}

func (placer *Placer) fitsIdle(request Resources) bool {
	return slices.ContainsFunc(placer.seats, func(seat *seat) bool { return request.Fits(seat.total) })
}

// choose returns an open worker that has room, or nil. It looks at the near rack first, then at a sample, and
// at all workers only if neither has room.
func (placer *Placer) choose(request Resources, nearRack string, now time.Time) *seat {
	near := placer.racks[nearRack]
	best := freest(nil, placer.seats[near.low:near.high], request, now)
	if best != nil {
		return best
	}
	if len(placer.seats) > sampleSize {
		for range sampleSize {
			i := placer.random.IntN(len(placer.seats))
			best = freest(best, placer.seats[i:i+1], request, now)
		}
		if best != nil {
			return best
		}
	}
	return freest(nil, placer.seats, request, now)
}

// freest returns the open worker with the largest free share among best and those of seats that have room.
func freest(best *seat, seats []*seat, request Resources, now time.Time) *seat {
	for _, seat := range seats {
		room := seat.room(now)
		if seat.closed(now) || !request.Fits(room) {
			continue
		}
		if best == nil || freeShare(seat, room) > freeShare(best, best.room(now)) {
			best = seat
		}
	}
	return best
}

// freeShare compares workers of different size by the part of their processor time that is free, in 1/1,000,000.
func freeShare(entry *seat, room Resources) int64 {
	return room.MilliCores * 1_000_000 / max(entry.total.MilliCores, 1)
}

// Release releases the room of a placed task and learns from how it ended; a second call has no effect.
func (placer *Placer) Release(placed Placed, result Result, now time.Time) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	held, ok := placer.reservations[placed.id]
	if !ok {
		return
	}
	delete(placer.reservations, placed.id)
	entry := placer.byName[held.worker]
	if entry == nil {
		entry = &seat{}
	}
	entry.reserved = entry.reserved.subtract(held.granted)
	switch ending := result.(type) {
	case Done:
		entry.failures = 0
		placer.estimate(held.kind).observe(ending.peak)
	case ResourcesExceeded:
		placer.estimate(held.kind).guard(held.granted, ending.peak)
	case Failed:
		placer.countFailure(entry, now)
	case NotStarted:
	}
}

const (
	// failuresToClose is the number of failures in a row after which a worker is held to fail all that it starts.
	failuresToClose = 3
	// closeTime is how long such a worker gets nothing; afterwards one more failure closes it again.
	closeTime = 10 * time.Second
	// maxClosedPercent bounds the workers closed at once: beyond it the tasks are more likely at fault.
	maxClosedPercent = 30
)

// countFailure closes a worker that fails task after task, so that its fast failures do not attract work.
func (placer *Placer) countFailure(entry *seat, now time.Time) {
	entry.failures++
	if entry.failures < failuresToClose {
		return
	}
	closed := 0
	for _, seat := range placer.seats {
		if seat.closed(now) {
			closed++
		}
	}
	if (closed+1)*100 <= maxClosedPercent*len(placer.seats) {
		entry.closedEnd = now.Add(closeTime)
	}
}

// estimate returns the learned size of kind; the caller holds placer.mu.
func (placer *Placer) estimate(kind string) *sizeEstimate {
	estimate := placer.estimates[kind]
	if estimate == nil {
		estimate = &sizeEstimate{}
		placer.estimates[kind] = estimate
	}
	return estimate
}
