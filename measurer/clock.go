package measurer

import (
	"container/heap"
	"time"
)

// start is the virtual time at which every run begins.
var start = time.Unix(1_000_000_000, 0)

// event is a call due at a virtual time.
type event struct {
	at   time.Time
	turn int
	call func()
}

// events is a heap of events by time; those of the same time keep the order in which they were added.
type events []event

func (events events) Len() int      { return len(events) }
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events events) Less(i, j int) bool {
	if events[i].at.Equal(events[j].at) {
		return events[i].turn < events[j].turn
	}
	return events[i].at.Before(events[j].at)
}

func (events *events) Push(added any) { *events = append(*events, added.(event)) }

func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// clock runs events in the order of virtual time.
type clock struct {
	now    time.Time
	turn   int
	events events
}

func newClock() *clock { return &clock{now: start} }

// after calls call when delay has passed.
func (clock *clock) after(delay time.Duration, call func()) {
	clock.turn++
	heap.Push(&clock.events, event{at: clock.now.Add(delay), turn: clock.turn, call: call})
}

// run runs events until none is left.
func (clock *clock) run() {
	for len(clock.events) > 0 {
		next := heap.Pop(&clock.events).(event)
		clock.now = next.at
		next.call()
	}
}
