package server

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
	"github.com/hyssoplift/hyssoplift/linker"
)

const (
	// waiterShards is the number of locks over which the waiting requests are distributed.
	waiterShards = 64
	// expireInterval is the resolution of the keeper's timeouts.
	expireInterval = 5 * time.Millisecond
	// decisionGrace is how long past its deadline a job waits for a pending decision.
	decisionGrace = time.Second
)

// waiter is a request that waits for an event of the keeper.
type waiter struct {
	key    string
	ticket uint64
	// joined means that the request waits for the outcome of a job that another request runs.
	joined bool
	event  chan keeper.Event
}

// waiterShard holds the waiting requests of some keys. Its lock is held from the keeper's decision until the waiter is
// registered, so that no event is missed in between.
type waiterShard struct {
	mu      sync.Mutex
	tickets map[uint64]*waiter
	keys    map[string][]*waiter
}

// keeperDriver triggers the keeper's timeouts, passes messages between the keeper and the links, and passes the
// keeper's events to the requests that wait for them.
type keeperDriver struct {
	keeper *keeper.Keeper
	linker *linker.Linker
	logger hclog.Logger
	seed   maphash.Seed
	shards [waiterShards]*waiterShard
}

// newKeeperDriver returns a keeperDriver that triggers the keeper's timeouts until ctx is done.
func newKeeperDriver(ctx context.Context, jobKeeper *keeper.Keeper, peerLinker *linker.Linker, logger hclog.Logger) *keeperDriver {
	keeperDriver := &keeperDriver{keeper: jobKeeper, linker: peerLinker, logger: logger, seed: maphash.MakeSeed()}
	for i := range keeperDriver.shards {
		keeperDriver.shards[i] = &waiterShard{tickets: make(map[uint64]*waiter), keys: make(map[string][]*waiter)}
	}
	go func() {
		ticker := time.NewTicker(expireInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				keeperDriver.apply(keeperDriver.keeper.HandleDeadlines(now))
			}
		}
	}()
	return keeperDriver
}

func (keeperDriver *keeperDriver) shard(key string) *waiterShard {
	return keeperDriver.shards[maphash.String(keeperDriver.seed, key)%waiterShards]
}

// decide calls the keeper, registers a waiter if an event will follow the decision, and sends the keeper's messages.
func (keeperDriver *keeperDriver) decide(key string, call func() (keeper.Decision, []keeper.Outgoing)) (keeper.Decision, *waiter) {
	shard := keeperDriver.shard(key)
	shard.mu.Lock()
	decision, outgoing := call()
	waiter := newWaiter(key, decision)
	if waiter != nil {
		shard.add(waiter)
	}
	shard.mu.Unlock()
	keeperDriver.send(outgoing)
	return decision, waiter
}

// newWaiter returns the waiter for decision, or nil if no event follows it.
func newWaiter(key string, decision keeper.Decision) *waiter {
	waiter := &waiter{key: key, event: make(chan keeper.Event, 1)}
	switch decision := decision.(type) {
	case keeper.AwaitWitness:
		waiter.ticket = decision.Ticket
	case keeper.AwaitConfirmation:
		waiter.ticket = decision.Ticket
	case keeper.Joined:
		waiter.ticket, waiter.joined = decision.Ticket, true
	default:
		return nil
	}
	return waiter
}

func (shard *waiterShard) add(waiter *waiter) {
	if waiter.ticket != 0 {
		shard.tickets[waiter.ticket] = waiter
	}
	if waiter.joined {
		shard.keys[waiter.key] = append(shard.keys[waiter.key], waiter)
	}
}

func (shard *waiterShard) remove(removed *waiter) {
	delete(shard.tickets, removed.ticket)
	if !removed.joined {
		return
	}
	remaining := slices.DeleteFunc(shard.keys[removed.key], func(other *waiter) bool { return other == removed })
	if len(remaining) == 0 {
		delete(shard.keys, removed.key)
		return
	}
	shard.keys[removed.key] = remaining
}

// wait returns the event for waiter, or false if none arrives until decisionGrace after the deadline.
func (keeperDriver *keeperDriver) wait(waiter *waiter, deadline time.Time) (keeper.Event, bool) {
	timer := time.NewTimer(time.Until(deadline.Add(decisionGrace)))
	defer timer.Stop()
	select {
	case event := <-waiter.event:
		return event, true
	case <-timer.C:
	}
	shard := keeperDriver.shard(waiter.key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.remove(waiter)
	select {
	case event := <-waiter.event:
		return event, true
	default:
		return nil, false
	}
}

// cancelWait removes a waiter whose event is not needed. It must not be used for a waiter that may be granted the start
// of a job.
func (keeperDriver *keeperDriver) cancelWait(waiter *waiter) {
	shard := keeperDriver.shard(waiter.key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.remove(waiter)
}

// receive passes a peer's message to the keeper.
func (keeperDriver *keeperDriver) receive(from string, message keeper.Message) {
	keeperDriver.apply(keeperDriver.keeper.Receive(from, message, time.Now()))
}

// finish stores the outcome of a job whose start was granted.
func (keeperDriver *keeperDriver) finish(key string, outcome dispatcher.Outcome) {
	keeperDriver.apply(keeperDriver.keeper.Finish(key, outcome, time.Now()))
}

// apply sends messages and delivers events to their waiters.
func (keeperDriver *keeperDriver) apply(events []keeper.Event, outgoing []keeper.Outgoing) {
	keeperDriver.send(outgoing)
	for _, event := range events {
		keeperDriver.deliver(event)
	}
}

func (keeperDriver *keeperDriver) send(outgoing []keeper.Outgoing) {
	for _, out := range outgoing {
		// The keeper retransmits what is required, so a message that cannot be sent is treated as lost.
		if err := keeperDriver.linker.Send(out.To.Incarnation, linker.KeeperMessage{Message: out.Message}); err != nil {
			keeperDriver.logger.Debug("message to peer keeper not sent", "peer", out.To.Name, "error", eris.ToString(err, false))
		}
	}
}

// deliver passes event to the requests that wait for it.
func (keeperDriver *keeperDriver) deliver(event keeper.Event) {
	switch event := event.(type) {
	case keeper.StartGranted:
		if !keeperDriver.notify(event.Key, event.Ticket, event) {
			// The request stopped waiting before the acknowledgement. The start record says that the job started, so it
			// has to be finished here.
			keeperDriver.finish(event.Key, dispatcher.NewFailed("the start record was acknowledged too late, nothing was started", nil))
		}
	case keeper.AttemptFailed:
		keeperDriver.notify(event.Key, event.Ticket, event)
	case keeper.RefusalConfirmed:
		keeperDriver.notify(event.Key, event.Ticket, event)
	case keeper.RefusalUnconfirmed:
		keeperDriver.notify(event.Key, event.Ticket, event)
	case keeper.CancelConfirmed:
		keeperDriver.notify(event.Key, event.Ticket, event)
	case keeper.RefusalSuperseded:
		keeperDriver.notify(event.Key, event.Ticket, event)
	case keeper.OutcomeKnown:
		keeperDriver.notifyAll(event)
	default:
		panic(eris.Errorf("unexpected event type %T", event))
	}
}

// notify delivers event to the waiter with the ticket and reports whether there was one.
func (keeperDriver *keeperDriver) notify(key string, ticket uint64, event keeper.Event) bool {
	shard := keeperDriver.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	waiter := shard.tickets[ticket]
	if waiter == nil {
		return false
	}
	shard.remove(waiter)
	waiter.event <- event
	return true
}

// notifyAll delivers the outcome of a job to every request that waits for it.
func (keeperDriver *keeperDriver) notifyAll(event keeper.OutcomeKnown) {
	shard := keeperDriver.shard(event.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for _, waiter := range slices.Clone(shard.keys[event.Key]) {
		shard.remove(waiter)
		waiter.event <- event
	}
}
