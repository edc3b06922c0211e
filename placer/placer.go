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
	total Size
}

// NewWorker returns a worker named name in rack with the given total size.
func NewWorker(name, rack string, total Size) Worker {
	return Worker{name: name, rack: rack, total: total}
}

// Name returns the worker's name.
func (worker Worker) Name() string { return worker.name }

// Rack returns the rack that the worker is in.
func (worker Worker) Rack() string { return worker.rack }

// Total returns the worker's size.
func (worker Worker) Total() Size { return worker.total }

// Verdict is the answer to a request for a place: Placed, Full or Impossible.
type Verdict interface{ isVerdict() }

// Placed means that room was reserved on a worker.
type Placed struct {
	worker  Worker
	granted Size
	id      uint64
}

// Full means that the task fits on a worker, but on none at this time.
type Full struct{}

// Impossible means that no worker, even an idle one, is large enough.
type Impossible struct{ largest Size }

func (Placed) isVerdict()     {}
func (Full) isVerdict()       {}
func (Impossible) isVerdict() {}

// Worker returns the chosen worker.
func (placed Placed) Worker() Worker { return placed.worker }

// Granted returns the size to ask for in the lease.
func (placed Placed) Granted() Size { return placed.granted }

// Largest returns the largest size on offer in each dimension.
func (impossible Impossible) Largest() Size { return impossible.largest }

// Ending is how a placed task ended: Done, Guarded or Unstarted.
type Ending interface{ isEnding() }

// Done means that the task ended on its own, with the peak usage that the worker reported.
type Done struct{ peak Size }

// Guarded means that the worker throttled, checkpointed or stopped the task for exceeding its size.
type Guarded struct{ peak Size }

// Unstarted means that the task gave no information on its size.
type Unstarted struct{}

func (Done) isEnding()      {}
func (Guarded) isEnding()   {}
func (Unstarted) isEnding() {}

// NewDone returns an ending with the given peak usage.
func NewDone(peak Size) Done { return Done{peak: peak} }

// NewGuarded returns an ending by the guard with the given peak usage.
func NewGuarded(peak Size) Guarded { return Guarded{peak: peak} }

// seat is the placer's account of one worker.
type seat struct {
	Worker
	reserved Size
	foreign  Size
	closed   bool
}

func (seat *seat) room() Size { return seat.total.subtract(seat.reserved).subtract(seat.foreign) }

// reservation is room held for one task.
type reservation struct {
	worker  string
	kind    string
	granted Size
}

// Placer places tasks on the workers of one service; it is safe for concurrent use.
type Placer struct {
	mu           sync.Mutex
	seats        []*seat
	byName       map[string]*seat
	estimates    map[string]*sizeEstimate
	reservations map[uint64]reservation
	lastID       uint64
	largest      Size
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
	placer.largest = Size{}
	for _, worker := range workers {
		entry := &seat{Worker: worker}
		if previous := old[worker.name]; previous != nil {
			entry.reserved, entry.foreign, entry.closed = previous.reserved, previous.foreign, previous.closed
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

// Report takes a worker's usage report; usage beyond the own reservations is held to be other instances'.
func (placer *Placer) Report(worker string, usage Usage, now time.Time, expiry time.Time) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	entry := placer.byName[worker]
	// A report older than its expiry describes tasks that have long ended.
	if entry == nil || now.After(expiry) {
		return
	}
	entry.foreign = usage.used.subtract(entry.reserved).Maximum(Size{})
}

// Close stops placing tasks on a worker that is leaving or fails what it starts.
func (placer *Placer) Close(worker string) { placer.setClosed(worker, true) }

// Open allows placing tasks on a worker again.
func (placer *Placer) Open(worker string) { placer.setClosed(worker, false) }

func (placer *Placer) setClosed(worker string, closed bool) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	if entry := placer.byName[worker]; entry != nil {
		entry.closed = closed
	}
}

// Place reserves room for one task of kind; nearRack, if not empty, is preferred, because a job whose tasks
// share a rack is lost to the failure of fewer racks.
func (placer *Placer) Place(kind string, declared Size, nearRack string) Verdict {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	request := placer.estimate(kind).request(declared)
	best, fitsIdle := placer.choose(request, nearRack)
	if best == nil && !fitsIdle {
		return Impossible{largest: placer.largest}
	}
	if best == nil {
		return Full{}
	}
	best.reserved = best.reserved.add(request)
	placer.lastID++
	placer.reservations[placer.lastID] = reservation{worker: best.name, kind: kind, granted: request}
	return Placed{worker: best.Worker, granted: request, id: placer.lastID}
}

// choose returns an open worker that has room, and whether any worker would fit the request if idle. It looks
// at the near rack first, then at a sample, and at all workers only if neither has room.
func (placer *Placer) choose(request Size, nearRack string) (best *seat, fitsIdle bool) {
	near := placer.racks[nearRack]
	if best = freest(nil, placer.seats[near.low:near.high], request); best != nil {
		return best, true
	}
	if len(placer.seats) > sampleSize {
		for range sampleSize {
			i := placer.random.IntN(len(placer.seats))
			best = freest(best, placer.seats[i:i+1], request)
		}
		if best != nil {
			return best, true
		}
	}
	fitsIdle = slices.ContainsFunc(placer.seats, func(seat *seat) bool { return request.Fits(seat.total) })
	return freest(nil, placer.seats, request), fitsIdle
}

// freest returns the open worker with the largest free share among best and those of seats that have room.
func freest(best *seat, seats []*seat, request Size) *seat {
	for _, seat := range seats {
		room := seat.room()
		if seat.closed || !request.Fits(room) {
			continue
		}
		if best == nil || freeShare(seat, room) > freeShare(best, best.room()) {
			best = seat
		}
	}
	return best
}

// freeShare compares workers of different size by the part of their processor time that is free, in 1/1,000,000.
func freeShare(entry *seat, room Size) int64 {
	return room.MilliCores * 1_000_000 / max(entry.total.MilliCores, 1)
}

// End releases the room of a placed task and learns from how it ended; a second call has no effect.
func (placer *Placer) End(placed Placed, ending Ending) {
	placer.mu.Lock()
	defer placer.mu.Unlock()
	held, ok := placer.reservations[placed.id]
	if !ok {
		return
	}
	delete(placer.reservations, placed.id)
	if entry := placer.byName[held.worker]; entry != nil {
		entry.reserved = entry.reserved.subtract(held.granted)
	}
	switch ending := ending.(type) {
	case Done:
		placer.estimate(held.kind).observe(ending.peak)
	case Guarded:
		placer.estimate(held.kind).guard(held.granted, ending.peak)
	case Unstarted:
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
