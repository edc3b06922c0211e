package executor

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// restartedClient is the client of a target that has restarted, with the ends of its present incarnation. Its first
// unanswered polls get no answer.
type restartedClient struct {
	silentClient
	requests    []PollRequest
	unanswered  int
	incarnation int64
	// fencedBelow is the incarnation for which the target has seen a request.
	fencedBelow int64
	ended       []scheduler.End
}

func (*restartedClient) Start(context.Context, scheduler.Target, scheduler.StartTask, time.Time) scheduler.StartResult {
	return scheduler.StartTaken
}

func (client *restartedClient) Poll(_ context.Context, on scheduler.Target, request PollRequest) (scheduler.PollResult, error) {
	sent := time.Now()
	client.requests = append(client.requests, request)
	if len(client.requests) <= client.unanswered {
		return scheduler.PollResult{}, eris.New("no answer")
	}
	if on.Incarnation < client.fencedBelow {
		return scheduler.PollResult{}, ErrFenced
	}
	for len(client.ended) > 0 && client.ended[0].Seq <= request.Acknowledged {
		client.ended = client.ended[1:]
	}
	return scheduler.PollResult{Incarnation: client.incarnation, Ended: client.ended, Sent: sent, Answered: time.Now()}, nil
}

// newAcknowledgingPoller returns an executor that knows incarnation 1 of the targets t and u, and a poller of t that has
// acknowledged 57 of its ends.
func newAcknowledgingPoller(t *testing.T, client *restartedClient, reads bool) (*Executor, *poller) {
	executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, client, time.Now, hclog.NewNullLogger())
	t.Cleanup(executor.Close)
	poller := &poller{
		id: "t", wake: make(chan struct{}, 1), withheld: make(map[int64]time.Time),
		incarnation: 1, acknowledged: 57, acknowledgeable: 57, forwarded: 57, polled: true, lastPoll: time.Now().Add(-time.Second),
	}
	poller.isReader.Store(reads)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.peersKnown = true
	executor.scheduler.SetTargets(infosOf(1), time.Now())
	executor.scheduler.SetReader("t", reads, time.Now().Add(-2*time.Second))
	return executor, poller
}

func infosOf(incarnation int64) []scheduler.Target {
	return []scheduler.Target{{ID: "t", Service: "work", Address: "127.0.0.1:1", Domain: "a", Capacity: scheduler.Resources{MilliCores: 32000, MemoryMB: 1024}, Incarnation: incarnation}}
}

// startOn starts a job of one task on a target that has listed its runs, and returns its run.
func startOn(executor *Executor) scheduler.Run {
	now := time.Now()
	listed := scheduler.PollResult{Sent: now, Answered: now}
	step := scheduler.Step{Tasks: []string{"j.0.0.0"}, Resources: scheduler.Resources{MilliCores: 14000}, Estimate: 20 * time.Millisecond}
	executor.mu.Lock()
	defer executor.mu.Unlock()
	executor.scheduler.HandlePoll("t", listed)
	executor.scheduler.Submit(scheduler.Job{ID: "j", Service: "work", Steps: []scheduler.Step{step}, MaxFailures: 2, Arrived: now, Deadline: now.Add(3 * time.Second), Objective: now.Add(time.Second)}, now)
	run := scheduler.Run{Task: "j.0.0.0", Attempt: 1}
	executor.scheduler.TakeActions()
	executor.scheduler.HandleStartResult("t", run, scheduler.StartTaken, now)
	return run
}

// The cursor of a former incarnation must not acknowledge ends of the present one, or they are lost.
func TestEndsOfAnUnnoticedIncarnationAreNotAcknowledged(t *testing.T) {
	for _, unanswered := range []int{0, 1} {
		client := &restartedClient{incarnation: 2, unanswered: unanswered}
		executor, poller := newAcknowledgingPoller(t, client, true)
		run := startOn(executor)
		client.ended = []scheduler.End{{Seq: 1, Run: run, Cause: scheduler.Done}}
		for range unanswered + 2 {
			time.Sleep(minPollInterval)
			executor.pollNext(t.Context(), poller)
		}
		executor.mu.Lock()
		for _, loss := range executor.scheduler.Losses() {
			// The former incarnation has ended, without runs.
			if loss.Incarnation == client.incarnation || len(loss.Suspects) > 0 {
				t.Errorf("unanswered %d: counted as a crash: %v", unanswered, loss)
			}
		}
		executor.mu.Unlock()
		if executor.Has("j") {
			t.Errorf("unanswered %d: the end of the run was lost; requests %+v", unanswered, client.requests)
		}
	}
}

// A former reader must not acknowledge ends of an incarnation that it has not polled.
func TestFormerReaderAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	client := &restartedClient{incarnation: 2, unanswered: 1}
	executor, poller := newAcknowledgingPoller(t, client, false)
	run := startOn(executor)
	executor.mu.Lock()
	executor.scheduler.HandlePeerRestart("t", 2, time.Now())
	executor.mu.Unlock()
	client.ended = []scheduler.End{{Seq: 1, Run: scheduler.Run{Task: "p.0.0.0", Attempt: 1}, Cause: scheduler.Done}, {Seq: 2, Run: run, Cause: scheduler.Done}}
	for range 2 {
		time.Sleep(minPollInterval)
		executor.pollNext(t.Context(), poller)
	}
	for _, request := range client.requests {
		is.Equal(request.Acknowledged, int64(0))
	}
}

// An instance that becomes the reader again after a restart must not acknowledge by what it had read before.
func TestReaderAgainAcknowledgesNothingUnread(t *testing.T) {
	is := is.New(t)
	client := &restartedClient{incarnation: 2}
	executor, poller := newAcknowledgingPoller(t, client, true)
	run := startOn(executor)
	executor.mu.Lock()
	executor.scheduler.SetTargets(infosOf(2), time.Now())
	executor.mu.Unlock()
	client.ended = []scheduler.End{{Seq: 1, Run: run, Cause: scheduler.Done}}
	executor.pollNext(t.Context(), poller)
	is.Equal(client.requests[0].Acknowledged, int64(0))
}

// A sound task must not be given up because the ends of its runs were acknowledged unread.
func TestUnreadEndsDoNotGiveAJobUp(t *testing.T) {
	client := &restartedClient{incarnation: 2}
	executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, client, time.Now, hclog.NewNullLogger())
	t.Cleanup(executor.Close)
	var infos []scheduler.Target
	pollers := make(map[string]*poller)
	for _, id := range []string{"t", "u", "v", "w", "x", "y", "z", "z2"} {
		info := infosOf(1)[0]
		info.ID, info.Address = id, id+":1"
		infos = append(infos, info)
		pollers[id] = &poller{
			id: id, wake: make(chan struct{}, 1), withheld: make(map[int64]time.Time),
			incarnation: 1, acknowledged: 57, acknowledgeable: 57, forwarded: 57, polled: true, lastPoll: time.Now().Add(-time.Second),
		}
		pollers[id].isReader.Store(true)
	}
	now := time.Now()
	executor.mu.Lock()
	executor.scheduler.SetTargets(infos, now)
	for id := range pollers {
		executor.scheduler.SetReader(id, true, now.Add(-2*time.Second))
		executor.scheduler.HandlePoll(id, scheduler.PollResult{Sent: now.Add(-2 * time.Second), Answered: now.Add(-2 * time.Second)})
	}
	step := scheduler.Step{Tasks: []string{"j.0.0.0"}, Resources: scheduler.Resources{MilliCores: 14000}, Estimate: 20 * time.Millisecond}
	executor.scheduler.Submit(scheduler.Job{ID: "j", Service: "work", Steps: []scheduler.Step{step}, MaxFailures: 2, Arrived: now, Deadline: now.Add(3 * time.Second), Objective: now.Add(time.Second)}, now)
	executor.mu.Unlock()
	for range 4 {
		executor.mu.Lock()
		actions := executor.scheduler.TakeActions()
		var on string
		for _, action := range actions {
			switch action := action.(type) {
			case scheduler.StartTask:
				on = action.Target
				executor.scheduler.HandleStartResult(on, action.Run, scheduler.StartTaken, time.Now())
				client.ended = []scheduler.End{{Seq: 1, Run: action.Run, Cause: scheduler.Done}}
			case scheduler.AnswerJob:
				t.Errorf("answered %#v; each run was done and no target crashed", action.Outcome)
			}
		}
		executor.mu.Unlock()
		if on == "" {
			return
		}
		client.requests, client.unanswered = nil, 1
		ctx := t.Context()
		for range 2 {
			time.Sleep(minPollInterval)
			executor.mu.Lock()
			target, _ := executor.scheduler.Target(on)
			state := executor.scheduler.TargetState(on)
			executor.mu.Unlock()
			request, _ := pollers[on].nextPoll(state, time.Now())
			poll, err := client.Poll(ctx, target, request)
			if err != nil {
				pollers[on].failures++
				continue
			}
			pollers[on].incarnation = poll.Incarnation
			executor.mu.Lock()
			executor.scheduler.HandlePoll(on, poll)
			executor.processEnds(pollers[on], poll)
			executor.mu.Unlock()
		}
	}
}

// An idle target must be sent the acknowledgement of its last ends with a single further poll, and forget the ends.
func TestIdleAcknowledgementNeedsOnePoll(t *testing.T) {
	is := is.New(t)
	client := &restartedClient{incarnation: 1}
	executor, poller := newAcknowledgingPoller(t, client, true)
	run := startOn(executor)
	client.ended = []scheduler.End{{Seq: 58, Run: run, Cause: scheduler.Done}}
	executor.pollNext(t.Context(), poller)
	is.True(!executor.Has("j"))
	for deadline := time.Now().Add(2 * acknowledgeDelay); len(client.requests) < 2 && time.Now().Before(deadline); {
		executor.pollNext(t.Context(), poller)
	}
	is.Equal(client.requests[1].Acknowledged, int64(58))
	is.Equal(len(client.ended), 0)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	_, pause := poller.nextPoll(executor.scheduler.TargetState("t"), time.Now())
	is.Equal(pause, idleInterval)
}

// Ends that an idle target lists again, because the time to acknowledge them has passed, must be processed once and be
// acknowledged by the poll after that.
func TestLateAcknowledgementFollowsTheNextAnswer(t *testing.T) {
	is := is.New(t)
	client := &restartedClient{incarnation: 1}
	executor, poller := newAcknowledgingPoller(t, client, true)
	run := startOn(executor)
	client.ended = []scheduler.End{{Seq: 58, Run: run, Cause: scheduler.Done}}
	executor.pollNext(t.Context(), poller)
	poller.lastPoll, poller.lastAnswer = poller.lastPoll.Add(-time.Second), poller.lastAnswer.Add(-time.Second)
	executor.pollNext(t.Context(), poller)
	is.Equal(client.requests[1].Acknowledged, int64(0))
	is.Equal(poller.forwarded, int64(58))
	poller.lastPoll = poller.lastPoll.Add(-acknowledgeDelay)
	executor.pollNext(t.Context(), poller)
	is.Equal(client.requests[2].Acknowledged, int64(58))
	is.Equal(len(client.ended), 0)
}

// The ends in a late list of a former incarnation must not be taken for ends of the present one, whose own would then count
// as processed.
func TestLateEndsOfFormerIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	client := &restartedClient{incarnation: 1}
	executor, poller := newAcknowledgingPoller(t, client, true)
	run := startOn(executor)
	poller.incarnation, poller.acknowledged, poller.acknowledgeable, poller.forwarded = 2, 0, 0, 0
	executor.mu.Lock()
	executor.scheduler.HandlePeerRestart("t", 2, time.Now().Add(time.Hour))
	executor.mu.Unlock()
	client.ended = []scheduler.End{{Seq: 58, Run: run, Cause: scheduler.Done}}
	executor.pollNext(t.Context(), poller)
	is.Equal(poller.incarnation, int64(2))
	is.Equal(poller.forwarded, int64(0))
	is.True(executor.Has("j"))
}
