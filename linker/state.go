package linker

import "time"

// LinkState is what an instance knows of an established link to another one at one moment.
type LinkState struct {
	at            time.Time
	openedAt      time.Time
	receivedAt    time.Time
	handlingSince time.Time
	pingedAt      time.Time
	writingSince  time.Time
	queued        int
}

// Age returns the time since the link was established.
func (state *LinkState) Age() time.Duration { return state.at.Sub(state.openedAt) }

// ReceivedAge returns the time since the last frame was read, or since the link was established.
func (state *LinkState) ReceivedAge() time.Duration { return state.at.Sub(state.receivedAt) }

// Handling returns for how long the messages of the last frame have been handled; 0 if this has ended.
func (state *LinkState) Handling() time.Duration { return state.since(state.handlingSince) }

// Pinging returns for how long a ping has been unanswered; 0 if there is none.
func (state *LinkState) Pinging() time.Duration { return state.since(state.pingedAt) }

// Writing returns for how long a frame has been waiting to be sent; 0 if there is none.
func (state *LinkState) Writing() time.Duration { return state.since(state.writingSince) }

// Queued returns the number of messages in the send queue.
func (state *LinkState) Queued() int { return state.queued }

func (state *LinkState) since(start time.Time) time.Duration {
	if start.IsZero() {
		return 0
	}
	return state.at.Sub(start)
}

// LinkStates returns the states of the established links to an instance, with the one used for sending last.
func (linker *Linker) LinkStates(incarnation string) []LinkState {
	linker.mu.RLock()
	defer linker.mu.RUnlock()
	var states []LinkState
	for _, link := range linker.links[incarnation] {
		states = append(states, link.state())
	}
	return states
}

func (link *link) state() LinkState {
	link.mu.Lock()
	queued := len(link.queue)
	link.mu.Unlock()
	return LinkState{
		at: time.Now(), openedAt: link.openedAt, receivedAt: unixTime(link.lastReceived.Load()), handlingSince: unixTime(link.handlingSince.Load()),
		pingedAt: unixTime(link.pingedAt.Load()), writingSince: unixTime(link.writingSince.Load()), queued: queued,
	}
}

// unixTime returns a Unix time in nanoseconds as a time, and zero as the zero time.
func unixTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}
