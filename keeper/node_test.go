package keeper_test

import (
	"slices"
	"time"

	"github.com/hyssoplift/hyssoplift/checker"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
)

// decider is implemented by the keeper and by the naive version.
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

// request is a submission or a cancellation that a node handles.
type request struct {
	submission keeper.Submission
	body       string
	cancel     bool
	retries    int
	decided    time.Time
	// reply returns the outcome to the sender of the request; decided is set for refusals.
	reply func(outcome dispatcher.Outcome, decided time.Time)
}

// node is one incarnation of an instance: a decider with a minimal emulation of the server.
type node struct {
	simulation *simulation
	slot       int
	member     keeper.Member
	decider    decider
	dead       bool
	frozen     bool
	leaving    time.Time
	inbox      []func()
	nextOffset int64
	tickets    map[uint64]*request
	waiters    map[string][]*request
	running    int
}

func newNode(simulation *simulation, slot int, member keeper.Member) *node {
	node := &node{simulation: simulation, slot: slot, member: member, tickets: map[uint64]*request{}, waiters: map[string][]*request{}}
	if simulation.naive {
		node.decider = newNaive(simulation)
	} else {
		node.decider = keeper.New(member, domain, simulation.limits, simulation.now)
	}
	return node
}

// runOrQueue runs a step of the node now, queues it if the node is frozen, or drops it if the node is dead.
func (node *node) runOrQueue(act func()) {
	switch {
	case node.dead:
	case node.frozen:
		node.inbox = append(node.inbox, act)
	default:
		act()
	}
}

// schedule runs a step after a delay, so that a fault can happen before it.
func (node *node) schedule(delay time.Duration, act func()) {
	node.simulation.after(delay, func() { node.runOrQueue(act) })
}

func (node *node) openLog() {
	node.nextOffset = node.simulation.trimmed
	node.decider.SetEarliestOffset(node.nextOffset)
}

func (node *node) readLog() {
	simulation := node.simulation
	if simulation.logDown || simulation.logCuts[node.slot] {
		return
	}
	if node.nextOffset < simulation.trimmed {
		node.openLog()
	}
	for ; node.nextOffset < int64(len(simulation.log)); node.nextOffset++ {
		node.apply(node.decider.Adopt(node.nextOffset, simulation.log[node.nextOffset], simulation.now))
	}
}

func (node *node) tick() {
	node.apply(node.decider.HandleDeadlines(node.simulation.now))
	if node.leaving.IsZero() {
		return
	}
	if node.running == 0 && node.decider.HandedOver() || node.simulation.now.After(node.leaving) {
		node.simulation.kill(node, 0)
	}
}

// accept queues a request for the given time, which may exceed its deadline, and then decides it.
func (node *node) accept(request *request, wait time.Duration) {
	node.simulation.onFaultPoint(beforeRecord, node)
	node.schedule(wait, func() { node.decide(request) })
}

// decide asks the decider and carries out its decision.
func (node *node) decide(request *request) {
	now := node.simulation.now
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
	node.carryOut(request, decision)
}

func (node *node) carryOut(request *request, decision keeper.Decision) {
	key := request.submission.Key
	switch decision := decision.(type) {
	case keeper.StartNow:
		node.waiters[key] = append(node.waiters[key], request)
		node.simulation.onFaultPoint(afterRecord, node)
		node.schedule(0, func() { node.startTasks(request) })
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
		node.schedule(50*time.Millisecond, func() { node.decide(request) })
	case keeper.Forward:
		node.forward(request, decision.To.Incarnation)
	default:
		request.reply(dispatcher.NewUnknown("no decision"), time.Time{})
	}
}

// nodeType names the type in methods whose receiver shadows it.
type nodeType = node

// forward passes a request to another node and answers unknown if no answer comes in time.
func (node *node) forward(original *request, to string) {
	simulation := node.simulation
	forwarded := *original
	forwarded.submission.Forwarded = true
	forwarded.reply = func(outcome dispatcher.Outcome, decided time.Time) {
		if other := simulation.nodes[to]; other != nil {
			simulation.transmit(other, node.member.Incarnation, func(*nodeType) { original.reply(outcome, decided) })
		}
	}
	simulation.transmit(node, to, func(target *nodeType) { target.accept(&forwarded, 0) })
	node.schedule(forwardTimeout, func() { original.reply(dispatcher.NewUnknown("forward timed out"), time.Time{}) })
}

// startTasks starts the tasks at the targets, where they run to their end even if the node fails.
func (node *node) startTasks(request *request) {
	simulation := node.simulation
	for _, task := range []string{"a", "b"} {
		simulation.record(checker.TaskStarted{
			Timestamp: simulation.nextTimestamp(), Key: request.submission.Key, Digest: request.body, Task: task, Instance: node.member.Incarnation,
		})
	}
	node.running++
	length := simulation.between(50*time.Millisecond, time.Second)
	simulation.after(length, func() {
		simulation.record(checker.JobEnded{Timestamp: simulation.nextTimestamp(), Key: request.submission.Key})
	})
	simulation.onFaultPoint(afterStart, node)
	node.schedule(length, func() {
		node.running--
		results := []dispatcher.TaskResult{{Name: "a", Result: []byte(request.body)}, {Name: "b", Result: []byte(request.body)}}
		node.apply(node.decider.Finish(request.submission.Key, dispatcher.NewComplete(results), simulation.now))
		simulation.onFaultPoint(afterAnswer, node)
	})
}

// apply sends messages and handles events.
func (node *node) apply(events []keeper.Event, outgoing []keeper.Outgoing) {
	for _, sent := range outgoing {
		node.simulation.transmit(node, sent.To.Incarnation, func(target *nodeType) {
			target.apply(target.decider.Receive(node.member.Incarnation, sent.Message, target.simulation.now))
			if _, isRecord := sent.Message.(keeper.Record); isRecord {
				target.simulation.onFaultPoint(atWitness, target)
			}
		})
	}
	for _, event := range events {
		node.handleEvent(event)
	}
}

func (node *node) handleEvent(event keeper.Event) {
	switch event := event.(type) {
	case keeper.StartGranted:
		request := node.tickets[event.Ticket]
		node.simulation.onFaultPoint(afterRecord, node)
		node.schedule(0, func() { node.startTasks(request) })
	case keeper.AttemptFailed:
		failed := node.tickets[event.Ticket]
		// The request no longer waits for the job: a later job under its key may have another body.
		node.waiters[event.Key] = slices.DeleteFunc(node.waiters[event.Key], func(waiter *request) bool { return waiter == failed })
		if event.Resubmit && !failed.submission.Forwarded {
			node.schedule(time.Millisecond, func() { node.decide(failed) })
			return
		}
		failed.reply(event.Outcome, time.Time{})
	case keeper.RefusalConfirmed:
		node.tickets[event.Ticket].reply(event.Refusal, event.Decided)
	case keeper.RefusalUnconfirmed:
		node.tickets[event.Ticket].reply(event.Outcome, time.Time{})
	case keeper.RefusalSuperseded:
		node.tickets[event.Ticket].reply(event.Outcome, node.simulation.now)
	case keeper.CancelConfirmed:
		refused := dispatcher.NewRefused(dispatcher.ReasonCancelled, "cancelled", "", time.Time{})
		node.tickets[event.Ticket].reply(refused, node.simulation.now)
	case keeper.OutcomeKnown:
		for _, waiter := range node.waiters[event.Key] {
			waiter.reply(event.Outcome, time.Time{})
		}
		delete(node.waiters, event.Key)
	}
}

// checkMembers is an unreliable emulation of the watcher: it suspects members and proposes views, sometimes wrongly.
func (node *node) checkMembers() {
	simulation := node.simulation
	number, view := node.decider.View()
	var seen []keeper.Member
	allAdopted := true
	for _, other := range simulation.nodes {
		if other.dead {
			continue
		}
		if otherNumber, _ := other.decider.View(); otherNumber < number {
			allAdopted = false
		}
	}
	for _, other := range simulation.slots {
		if other.dead || other != node && (other.frozen || !simulation.linked(node.slot, other.slot)) {
			node.decider.Suspect(other.member.Incarnation)
			continue
		}
		node.decider.ClearSuspicion(other.member.Incarnation)
		seen = append(seen, other.member)
	}
	if allAdopted {
		node.decider.SetAdoptedByAll(number, simulation.now)
	}
	if simulation.chance(0.15) {
		node.proposeNextView(number, view, seen)
	}
}

// proposeNextView proposes a view of the members seen, or a renewal of the current one if nothing has changed.
func (node *node) proposeNextView(number int64, view keeper.View, seen []keeper.Member) {
	simulation := node.simulation
	if number == keeper.NoView {
		known := slices.ContainsFunc(simulation.slots, func(other *nodeType) bool {
			otherNumber, _ := other.decider.View()
			return !other.dead && simulation.linked(node.slot, other.slot) && otherNumber != keeper.NoView
		})
		if !known {
			simulation.propose(node, keeper.View{Prev: keeper.NoView, Members: seen, Reset: simulation.trimmed > 0}, false)
		}
		return
	}
	if len(seen) > 1 && !simulation.noFalseSuspicions && simulation.chance(0.1) {
		// Leave out a live member: safety must not depend on correct suspicions.
		leftOut := simulation.IntN(len(seen))
		seen = slices.Delete(seen, leftOut, leftOut+1)
	}
	var departing []keeper.Member
	stay := slices.DeleteFunc(slices.Clone(seen), func(member keeper.Member) bool {
		if simulation.nodes[member.Incarnation].leaving.IsZero() {
			return false
		}
		departing = append(departing, member)
		return true
	})
	if len(stay) == 0 {
		return
	}
	if slices.Equal(stay, view.Members) && slices.Equal(departing, view.Departing) {
		if renewed, due := simulation.renewedView(number, view); due {
			renewed.Departing = departing
			simulation.propose(node, renewed, true)
		}
		return
	}
	simulation.propose(node, keeper.View{Prev: number, Members: stay, Departing: departing, ExpiryFloor: view.ExpiryFloor}, false)
}
