package keeper_test

import (
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/checker"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
)

// decider is what a node asks: the keeper or the naive version.
type decider interface {
	SetEarliestOffset(earliest int64)
	Adopt(offset int64, view keeper.View, now time.Time) ([]keeper.Event, []keeper.Outgoing)
	View() (int64, keeper.View)
	Submit(submission keeper.Submission, now time.Time) (keeper.Decision, []keeper.Outgoing)
	Refuse(submission keeper.Submission, refused dispatcher.Refused, now time.Time) (keeper.Decision, []keeper.Outgoing)
	Cancel(key string, forwarded bool, now time.Time) (keeper.Decision, []keeper.Outgoing)
	Finish(key string, outcome dispatcher.Outcome, now time.Time) ([]keeper.Event, []keeper.Outgoing)
	Receive(from string, message keeper.Message, now time.Time) ([]keeper.Event, []keeper.Outgoing)
	HandleDeadlines(now time.Time) ([]keeper.Event, []keeper.Outgoing)
	KeyPrefix(now time.Time) string
	Suspect(incarnation string)
	ClearSuspicion(incarnation string)
	SetAdoptedByAll(view int64, now time.Time)
	HandedOver() bool
}

// request is a submission, or a cancellation, on its way through a node.
type request struct {
	submission keeper.Submission
	body       string
	cancel     bool
	retries    int
	decided    time.Time
	// reply takes the outcome to whoever sent the request; decided is set for refusals.
	reply func(outcome dispatcher.Outcome, decided time.Time)
}

// node is one incarnation of an instance: a stub of the server around a decider.
type node struct {
	world   *world
	slot    int
	member  keeper.Member
	decider decider
	dead    bool
	frozen  bool
	leaving time.Time
	inbox   []func()
	next    int64
	tickets map[uint64]*request
	waiters map[string][]*request
	running int
}

func newNode(world *world, slot int, member keeper.Member) *node {
	node := &node{world: world, slot: slot, member: member, tickets: map[uint64]*request{}, waiters: map[string][]*request{}}
	if world.naive {
		node.decider = newNaive(world)
	} else {
		node.decider = keeper.New(member, domain, world.limits, world.now)
	}
	return node
}

// do runs a step of the node now, or when it resumes, or never.
func (node *node) do(act func()) {
	switch {
	case node.dead:
	case node.frozen:
		node.inbox = append(node.inbox, act)
	default:
		act()
	}
}

// step schedules a step, so that a fault can strike before it.
func (node *node) step(delay time.Duration, act func()) {
	node.world.after(delay, func() { node.do(act) })
}

func (node *node) openLog() {
	node.next = node.world.trimmed
	node.decider.SetEarliestOffset(node.next)
}

func (node *node) readLog() {
	world := node.world
	if world.logDown || world.logCuts[node.slot] {
		return
	}
	if node.next < world.trimmed {
		node.openLog()
	}
	for ; node.next < int64(len(world.log)); node.next++ {
		node.apply(node.decider.Adopt(node.next, world.log[node.next], world.now))
	}
}

func (node *node) tick() {
	node.apply(node.decider.HandleDeadlines(node.world.now))
	if node.leaving.IsZero() {
		return
	}
	if node.running == 0 && node.decider.HandedOver() || node.world.now.After(node.leaving) {
		node.world.kill(node, 0)
	}
}

// accept takes a request in; its wait in the queue may outlast its deadline.
func (node *node) accept(request *request, wait time.Duration) {
	node.world.strike(beforeRecord, node)
	node.step(wait, func() { node.decide(request) })
}

func (node *node) decide(request *request) {
	now := node.world.now
	request.decided = now
	var decision keeper.Decision
	var outgoing []keeper.Outgoing
	switch {
	case request.cancel:
		decision, outgoing = node.decider.Cancel(request.submission.Key, request.submission.Forwarded, now)
	case now.After(request.submission.Deadline):
		refused := dispatcher.NewRefused(dispatcher.ReasonDeadline, "late", "", time.Time{})
		decision, outgoing = node.decider.Refuse(request.submission, refused, now)
	default:
		decision, outgoing = node.decider.Submit(request.submission, now)
	}
	node.apply(nil, outgoing)
	node.obey(request, decision)
}

func (node *node) obey(request *request, decision keeper.Decision) {
	key := request.submission.Key
	switch decision := decision.(type) {
	case keeper.StartNow:
		node.waiters[key] = append(node.waiters[key], request)
		node.world.strike(afterRecord, node)
		node.step(0, func() { node.launch(request) })
	case keeper.AwaitWitness:
		node.tickets[decision.Ticket] = request
		node.waiters[key] = append(node.waiters[key], request)
	case keeper.AwaitConfirmation:
		node.tickets[decision.Ticket] = request
	case keeper.Joined:
		node.tickets[decision.Ticket] = request
		node.waiters[key] = append(node.waiters[key], request)
	case keeper.Answer:
		request.reply(decision.Outcome, request.decided)
	case keeper.AnswerLost:
		request.reply(dispatcher.NewFailed("answer lost", nil), time.Time{})
	case keeper.RetryLater:
		if request.retries++; request.retries > 20 {
			request.reply(decision.Outcome, time.Time{})
			return
		}
		node.step(50*time.Millisecond, func() { node.decide(request) })
	case keeper.Forward:
		node.forward(request, decision.To.Incarnation)
	default:
		request.reply(dispatcher.NewUnknown("no decision"), time.Time{})
	}
}

// instance names the type where a receiver shadows it.
type instance = node

// forward passes a request on and answers unknown when no answer comes in time.
func (node *node) forward(original *request, to string) {
	world := node.world
	passed := *original
	passed.submission.Forwarded = true
	passed.reply = func(outcome dispatcher.Outcome, decided time.Time) {
		if other := world.every[to]; other != nil {
			world.transmit(other, node.member.Incarnation, func(*instance) { original.reply(outcome, decided) })
		}
	}
	world.transmit(node, to, func(target *instance) { target.accept(&passed, 0) })
	node.step(forwardTime, func() { original.reply(dispatcher.NewUnknown("forward timed out"), time.Time{}) })
}

// launch starts the tasks at the targets, which run on whatever happens to the node.
func (node *node) launch(request *request) {
	world := node.world
	for _, task := range []string{"a", "b"} {
		world.record(checker.TaskStarted{
			At: world.stamp(), Key: request.submission.Key, Digest: request.body, Task: task, Instance: node.member.Incarnation,
		})
	}
	node.running++
	length := world.between(50*time.Millisecond, time.Second)
	world.after(length, func() { world.record(checker.JobEnded{At: world.stamp(), Key: request.submission.Key}) })
	world.strike(afterStart, node)
	node.step(length, func() {
		node.running--
		results := []dispatcher.TaskResult{{Name: "a", Result: []byte(request.body)}, {Name: "b", Result: []byte(request.body)}}
		node.apply(node.decider.Finish(request.submission.Key, dispatcher.NewComplete(results), world.now))
		world.strike(afterAnswer, node)
	})
}

// apply carries out events and sends messages.
func (node *node) apply(events []keeper.Event, outgoing []keeper.Outgoing) {
	for _, sent := range outgoing {
		node.world.transmit(node, sent.To.Incarnation, func(target *instance) {
			target.apply(target.decider.Receive(node.member.Incarnation, sent.Message, target.world.now))
			if _, isRecord := sent.Message.(keeper.Record); isRecord {
				target.world.strike(atWitness, target)
			}
		})
	}
	for _, event := range events {
		node.react(event)
	}
}

func (node *node) react(event keeper.Event) {
	switch event := event.(type) {
	case keeper.StartGranted:
		request := node.tickets[event.Ticket]
		node.world.strike(afterRecord, node)
		node.step(0, func() { node.launch(request) })
	case keeper.AttemptFailed:
		lost := node.tickets[event.Ticket]
		// The request does not wait for the job any more: a later job under its key may have another body.
		node.waiters[event.Key] = slices.DeleteFunc(node.waiters[event.Key], func(waiter *request) bool { return waiter == lost })
		if event.Resubmit && !lost.submission.Forwarded {
			node.step(time.Millisecond, func() { node.decide(lost) })
			return
		}
		lost.reply(event.Outcome, time.Time{})
	case keeper.RefusalConfirmed:
		node.tickets[event.Ticket].reply(event.Refusal, event.Decided)
	case keeper.RefusalUnconfirmed:
		node.tickets[event.Ticket].reply(event.Outcome, time.Time{})
	case keeper.RefusalSuperseded:
		node.tickets[event.Ticket].reply(event.Outcome, node.world.now)
	case keeper.CancelConfirmed:
		refused := dispatcher.NewRefused(dispatcher.ReasonCancelled, "cancelled", "", time.Time{})
		node.tickets[event.Ticket].reply(refused, node.world.now)
	case keeper.OutcomeKnown:
		for _, waiter := range node.waiters[event.Key] {
			waiter.reply(event.Outcome, time.Time{})
		}
		delete(node.waiters, event.Key)
	}
}

// watch is a careless stand-in for the watcher: it suspects, proposes views and sometimes errs.
func (node *node) watch() {
	world := node.world
	number, view := node.decider.View()
	var seen []keeper.Member
	accounted := true
	for _, other := range world.every {
		if other.dead {
			continue
		}
		if otherNumber, _ := other.decider.View(); otherNumber < number {
			accounted = false
		}
	}
	for _, other := range world.slots {
		if other.dead || other != node && (other.frozen || !world.linked(node.slot, other.slot)) {
			node.decider.Suspect(other.member.Incarnation)
			continue
		}
		node.decider.ClearSuspicion(other.member.Incarnation)
		seen = append(seen, other.member)
	}
	if accounted {
		node.decider.SetAdoptedByAll(number, world.now)
	}
	if world.chance(0.15) {
		node.proposeFrom(number, view, seen)
	}
}

func (node *node) proposeFrom(number int64, view keeper.View, seen []keeper.Member) {
	world := node.world
	if number == keeper.NoView {
		known := slices.ContainsFunc(world.slots, func(other *instance) bool {
			otherNumber, _ := other.decider.View()
			return !other.dead && world.linked(node.slot, other.slot) && otherNumber != keeper.NoView
		})
		if !known {
			world.propose(node, keeper.View{Prev: keeper.NoView, Members: seen, Reset: world.trimmed > 0}, false)
		}
		return
	}
	if len(seen) > 1 && !world.careful && world.chance(0.1) {
		// A wrong suspicion: safety must not depend on the watcher.
		lost := world.IntN(len(seen))
		seen = slices.Delete(seen, lost, lost+1)
	}
	var departing []keeper.Member
	stay := slices.DeleteFunc(slices.Clone(seen), func(member keeper.Member) bool {
		if world.every[member.Incarnation].leaving.IsZero() {
			return false
		}
		departing = append(departing, member)
		return true
	})
	if len(stay) == 0 {
		return
	}
	if slices.Equal(stay, view.Members) && slices.Equal(departing, view.Departing) {
		if renewed, due := world.renewedView(number, view); due {
			renewed.Departing = departing
			world.propose(node, renewed, true)
		}
		return
	}
	world.propose(node, keeper.View{Prev: number, Members: stay, Departing: departing, ExpiryFloor: view.ExpiryFloor}, false)
}
