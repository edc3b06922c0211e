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
	// deciderShards spreads the waiting requests over locks.
	deciderShards = 64
	// expireInterval is the resolution of the keeper's timeouts.
	expireInterval = 5 * time.Millisecond
	// decisionGrace is how long after its deadline a job waits for a decision that is under way.
	decisionGrace = time.Second
)

// waiter is one request that waits for an event of the keeper.
type waiter struct {
	key    string
	ticket uint64
	// byKey says that the request waits for the end of a job that another request runs.
	byKey bool
	event chan keeper.Event
}

// deciderShard holds the waiting requests of some keys. Its lock is held from the keeper's decision to the
// registration of the waiter, so that no event can come between.
type deciderShard struct {
	mu      sync.Mutex
	tickets map[uint64]*waiter
	keys    map[string][]*waiter
}

// decider carries the keeper's messages and events between links and requests.
type decider struct {
	keeper *keeper.Keeper
	linker *linker.Linker
	logger hclog.Logger
	seed   maphash.Seed
	shards [deciderShards]*deciderShard
}

// newDecider returns a decider that drives the keeper's timeouts until ctx is done.
func newDecider(ctx context.Context, kept *keeper.Keeper, links *linker.Linker, logger hclog.Logger) *decider {
	decider := &decider{keeper: kept, linker: links, logger: logger, seed: maphash.MakeSeed()}
	for i := range decider.shards {
		decider.shards[i] = &deciderShard{tickets: make(map[uint64]*waiter), keys: make(map[string][]*waiter)}
	}
	go func() {
		ticker := time.NewTicker(expireInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				decider.apply(decider.keeper.HandleDeadlines(now))
			}
		}
	}()
	return decider
}

func (decider *decider) shard(key string) *deciderShard {
	return decider.shards[maphash.String(decider.seed, key)%deciderShards]
}

// decide calls the keeper, registers a waiter if the decision announces an event, and sends the messages.
func (decider *decider) decide(key string, call func() (keeper.Decision, []keeper.Outgoing)) (keeper.Decision, *waiter) {
	shard := decider.shard(key)
	shard.mu.Lock()
	decision, outgoing := call()
	waiter := newWaiter(key, decision)
	if waiter != nil {
		shard.add(waiter)
	}
	shard.mu.Unlock()
	decider.send(outgoing)
	return decision, waiter
}

// newWaiter returns the waiter that decision asks for, or nil.
func newWaiter(key string, decision keeper.Decision) *waiter {
	waiter := &waiter{key: key, event: make(chan keeper.Event, 1)}
	switch decision := decision.(type) {
	case keeper.AwaitWitness:
		waiter.ticket = decision.Ticket
	case keeper.AwaitConfirmation:
		waiter.ticket = decision.Ticket
	case keeper.Joined:
		waiter.ticket, waiter.byKey = decision.Ticket, true
	default:
		return nil
	}
	return waiter
}

func (shard *deciderShard) add(waiter *waiter) {
	if waiter.ticket != 0 {
		shard.tickets[waiter.ticket] = waiter
	}
	if waiter.byKey {
		shard.keys[waiter.key] = append(shard.keys[waiter.key], waiter)
	}
}

func (shard *deciderShard) remove(gone *waiter) {
	delete(shard.tickets, gone.ticket)
	if !gone.byKey {
		return
	}
	left := slices.DeleteFunc(shard.keys[gone.key], func(other *waiter) bool { return other == gone })
	if len(left) == 0 {
		delete(shard.keys, gone.key)
		return
	}
	shard.keys[gone.key] = left
}

// wait returns the event that waiter was registered for, or false at the deadline.
func (decider *decider) wait(waiter *waiter, deadline time.Time) (keeper.Event, bool) {
	timer := time.NewTimer(time.Until(deadline.Add(decisionGrace)))
	defer timer.Stop()
	select {
	case event := <-waiter.event:
		return event, true
	case <-timer.C:
	}
	shard := decider.shard(waiter.key)
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

// forget ends a wait whose event does not matter; it must not be one for the start of a job.
func (decider *decider) forget(waiter *waiter) {
	shard := decider.shard(waiter.key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.remove(waiter)
}

// receive passes a peer's message to the keeper.
func (decider *decider) receive(from string, message keeper.Message) {
	decider.apply(decider.keeper.Receive(from, message, time.Now()))
}

// finish stores the outcome of a job whose start was granted.
func (decider *decider) finish(key string, outcome dispatcher.Outcome) {
	decider.apply(decider.keeper.Finish(key, outcome, time.Now()))
}

// apply delivers events to their waiters and sends messages.
func (decider *decider) apply(events []keeper.Event, outgoing []keeper.Outgoing) {
	decider.send(outgoing)
	for _, event := range events {
		decider.deliver(event)
	}
}

func (decider *decider) send(outgoing []keeper.Outgoing) {
	for _, out := range outgoing {
		// The keeper repeats what matters, so a message that cannot be sent counts as lost.
		if err := decider.linker.Send(out.To.Incarnation, linker.KeeperMessage{Message: out.Message}); err != nil {
			decider.logger.Debug("message to keeper not sent", "peer", out.To.Name, "error", eris.ToString(err, false))
		}
	}
}

func (decider *decider) deliver(event keeper.Event) {
	switch event := event.(type) {
	case keeper.StartGranted:
		if !decider.hand(event.Key, event.Ticket, event) {
			// The request gave up before the acknowledgement; the record says started, so the job ends here.
			decider.finish(event.Key, dispatcher.NewFailed("the start record was acknowledged too late, nothing was started", nil))
		}
	case keeper.AttemptFailed:
		decider.hand(event.Key, event.Ticket, event)
	case keeper.RefusalConfirmed:
		decider.hand(event.Key, event.Ticket, event)
	case keeper.RefusalUnconfirmed:
		decider.hand(event.Key, event.Ticket, event)
	case keeper.CancelConfirmed:
		decider.hand(event.Key, event.Ticket, event)
	case keeper.RefusalSuperseded:
		decider.hand(event.Key, event.Ticket, event)
	case keeper.OutcomeKnown:
		decider.handAll(event)
	default:
		panic(eris.Errorf("event type %T is not handled", event))
	}
}

// hand gives event to the waiter with the ticket and reports whether there was one.
func (decider *decider) hand(key string, ticket uint64, event keeper.Event) bool {
	shard := decider.shard(key)
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

// handAll gives the end of a job to every request that waits for it.
func (decider *decider) handAll(event keeper.OutcomeKnown) {
	shard := decider.shard(event.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for _, waiter := range slices.Clone(shard.keys[event.Key]) {
		shard.remove(waiter)
		waiter.event <- event
	}
}
