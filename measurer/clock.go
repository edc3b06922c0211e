package measurer

import (
	"container/heap"
	"time"
)

// startTime is the virtual time at which every run begins.
var startTime = time.Unix(1_000_000_000, 0)

// event is a callback that is due at a virtual time.
type event struct {
	at       time.Time
	sequence int
	callback func()
}

// events is a heap of events, ordered by time and, for equal times, by the order in which they were added.
type events []event

func (events events) Len() int      { return len(events) }
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events events) Less(i, j int) bool {
	if events[i].at.Equal(events[j].at) {
		return events[i].sequence < events[j].sequence
	}
	return events[i].at.Before(events[j].at)
}

func (events *events) Push(added any) { *events = append(*events, added.(event)) }

func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// clock runs events in the order of their virtual time.
type clock struct {
	now      time.Time
	sequence int
	events   events
}

func newClock() *clock { return &clock{now: startTime} }

// after schedules callback to run after delay.
func (clock *clock) after(delay time.Duration, callback func()) {
	clock.sequence++
	heap.Push(&clock.events, event{at: clock.now.Add(delay), sequence: clock.sequence, callback: callback})
}

// run runs events, including those that they schedule, until none is left.
func (clock *clock) run() {
	for len(clock.events) > 0 {
		next := heap.Pop(&clock.events).(event)
		clock.now = next.at
		next.callback()
	}
}
