package executor

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// memoryTarget is an in-memory target shared by several instances.
type memoryTarget struct {
	runTime time.Duration

	mu      sync.Mutex
	running map[scheduler.Run]time.Time
	ended   []scheduler.End
	stopped int
	// closed lists the instances that have closed their idle connections.
	closed []string
	// startsBy counts the starts by instance.
	startsBy map[string]int
}

func newMemoryTarget(runTime time.Duration) *memoryTarget {
	return &memoryTarget{runTime: runTime, running: make(map[scheduler.Run]time.Time), startsBy: make(map[string]int)}
}

// instanceClient is the TargetClient of one instance.
type instanceClient struct {
	*memoryTarget
	instance string
}

func (client instanceClient) Start(_ context.Context, _ scheduler.Target, start scheduler.StartTask, _ time.Time) scheduler.StartResult {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.running[start.Run] = time.Now()
	client.startsBy[client.instance]++
	return scheduler.StartTaken
}

func (client instanceClient) Stop(_ context.Context, _ scheduler.Target, run scheduler.Run) error {
	client.mu.Lock()
	defer client.mu.Unlock()
	if _, ok := client.running[run]; ok {
		client.end(run, scheduler.Stopped)
		client.stopped++
	}
	return nil
}

func (client instanceClient) SetConnectionLimits(map[string]int) {}

func (client instanceClient) CloseIdle() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.closed = append(client.closed, client.instance)
}

func (target *memoryTarget) end(run scheduler.Run, cause scheduler.Cause) {
	delete(target.running, run)
	target.ended = append(target.ended, scheduler.End{Seq: int64(len(target.ended) + 1), Run: run, Cause: cause})
}

func (client instanceClient) Poll(ctx context.Context, _ scheduler.Target, request PollRequest) (scheduler.PollResult, error) {
	select {
	case <-ctx.Done():
	case <-time.After(min(request.Wait, 5*time.Millisecond)):
	}
	now := time.Now()
	client.mu.Lock()
	defer client.mu.Unlock()
	poll := scheduler.PollResult{Incarnation: 1, Sent: now, Answered: now}
	for run, started := range client.running {
		if now.Sub(started) >= client.runTime {
			client.end(run, scheduler.Done)
			continue
		}
		poll.Running = append(poll.Running, scheduler.ActiveRun{Run: run})
	}
	for _, end := range client.ended {
		if end.Seq > request.Acknowledged {
			poll.Ended = append(poll.Ended, end)
		}
	}
	return poll, nil
}

// readLocked returns the result of value, which is called with the lock held.
func (target *memoryTarget) readLocked(value func() int) int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return value()
}

// member is an executor with links to other members.
type member struct {
	*Executor
	links  *linker.Linker
	server *httptest.Server
}

// newMember returns an executor that has the targets but no links yet; it is closed at the end of the test.
func newMember(t *testing.T, self linker.Hello, client TargetClient, limits linker.Limits, targets []scheduler.Target, logger hclog.Logger) *member {
	t.Helper()
	added := &member{Executor: New(self, 0, client, time.Now, logger)}
	added.links = linker.New(self, limits, logger, added.Peers().Receive)
	added.Peers().SetLinks(added.links)
	added.server = httptest.NewServer(added.links)
	t.Cleanup(added.end)
	added.SetTargets(targets)
	return added
}

func (member *member) peer() linker.Peer {
	return linker.Peer{Name: member.self.Name, Incarnation: member.self.Incarnation, Address: strings.TrimPrefix(member.server.URL, "http://")}
}

// end closes the member's links and executor, as the end of its process would.
func (member *member) end() {
	member.links.Close()
	member.Executor.Close()
	member.server.Close()
}

// newPair returns a small and a large instance that are linked and share one target.
func newPair(t *testing.T, target *memoryTarget) (small, large *member) {
	t.Helper()
	targets := []scheduler.Target{{ID: "t", Service: "work", Domain: "a", Capacity: scheduler.Resources{MilliCores: 320000, MemoryMB: 1 << 20}}}
	var members []*member
	for _, instance := range []struct {
		name   string
		weight float64
	}{{"small", 0.144}, {"large", 0.8}} {
		self := linker.Hello{Domain: "a", Name: instance.name, Incarnation: instance.name, Weight: instance.weight}
		members = append(members, newMember(t, self, instanceClient{target, instance.name}, linker.DefaultLimits(), targets, hclog.NewNullLogger()))
	}
	small, large = members[0], members[1]
	peers := []linker.Peer{small.peer(), large.peer()}
	small.links.SetMembers(peers)
	large.links.SetMembers(peers)
	await(t, "the small instance delegates its jobs", func() bool {
		small.mu.Lock()
		defer small.mu.Unlock()
		return small.delegating
	})
	return small, large
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func memoryJob(id string, tasks int) scheduler.Job {
	now := time.Now()
	step := scheduler.Step{Resources: scheduler.Resources{MilliCores: 1000}, Estimate: 20 * time.Millisecond}
	for number := range tasks {
		step.Tasks = append(step.Tasks, fmt.Sprintf("%s.0.0.%d", id, number))
	}
	return scheduler.Job{
		ID: id, Route: "r", Service: "work", Steps: []scheduler.Step{step}, MaxFailures: 2,
		Arrived: now, Deadline: now.Add(time.Minute), Objective: now.Add(10 * time.Second),
	}
}

// submit submits a job and returns the channel for its outcome.
func (member *member) submit(ctx context.Context, job scheduler.Job) <-chan dispatcher.Outcome {
	outcome := make(chan dispatcher.Outcome, 1)
	go func() { outcome <- member.Submit(ctx, job) }()
	return outcome
}

// A small instance must delegate its jobs instead of running them, and return the outcomes to its callers.
func TestSmallInstanceDelegatesItsJobs(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(20 * time.Millisecond)
	small, _ := newPair(t, target)
	_, complete := (<-small.submit(t.Context(), memoryJob("j", 3))).(dispatcher.Complete)
	is.True(complete)
	is.Equal(target.readLocked(func() int { return target.startsBy["large"] }), 3)
	is.Equal(target.readLocked(func() int { return target.startsBy["small"] }), 0)
	is.True(!small.Has("j"))
	is.Equal(target.closed, []string{"small"}) // targets limit the total number of connections
}

// The delegate must stop the runs of a job whose caller has left or cancelled it.
func TestDelegatedJobIsAbandoned(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(time.Minute)
	small, large := newPair(t, target)
	ctx, cancel := context.WithCancel(t.Context())
	left := small.submit(ctx, memoryJob("left", 2))
	cancelled := small.submit(t.Context(), memoryJob("cancelled", 2))
	await(t, "both jobs run", func() bool { return target.readLocked(func() int { return len(target.running) }) == 4 })
	is.True(small.Has("left"))
	cancel()
	is.Equal(<-left, nil)
	is.True(small.Cancel(t.Context(), "cancelled"))
	_, unknown := (<-cancelled).(dispatcher.Unknown)
	is.True(unknown)
	await(t, "all runs are stopped", func() bool { return target.readLocked(func() int { return target.stopped }) == 4 })
	is.True(!large.Has("left") && !large.Has("cancelled"))
	is.True(!small.Cancel(t.Context(), "left"))
}

// If the delegate is lost, the caller must get an answer at once rather than at its deadline, and it must be unknown
// since the job may have run.
func TestLossOfTheDelegateIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(time.Minute)
	small, large := newPair(t, target)
	outcome := small.submit(t.Context(), memoryJob("j", 1))
	await(t, "the job runs", func() bool { return target.readLocked(func() int { return len(target.running) }) == 1 })
	large.links.Close()
	_, unknown := (<-outcome).(dispatcher.Unknown)
	is.True(unknown)
}

// Runs for a lost origin must be stopped, since its callers send their jobs again after 1,300 ms.
func TestLossOfTheOriginStopsItsRuns(t *testing.T) {
	target := newMemoryTarget(time.Minute)
	small, _ := newPair(t, target)
	small.submit(t.Context(), memoryJob("j", 2))
	await(t, "the job runs", func() bool { return target.readLocked(func() int { return len(target.running) }) == 2 })
	small.links.Close()
	await(t, "the runs are stopped", func() bool { return target.readLocked(func() int { return target.stopped }) == 2 })
}

// A job that could not be sent to its delegate must be run locally.
func TestJobThatCannotBeDelegatedRunsLocally(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(20 * time.Millisecond)
	small, _ := newPair(t, target)
	small.mu.Lock()
	answer := small.addWaiter("j")
	small.delegate(memoryJob("j", 2), "nobody")
	small.mu.Unlock()
	_, complete := (<-answer).(dispatcher.Complete)
	is.True(complete)
	is.Equal(target.readLocked(func() int { return target.startsBy["small"] }), 2)
}

// A job that its delegate would refuse to decode, for its many steps or a long label, must run locally. It ended the link between the two
// instances and with it all jobs that one ran for the other.
func TestJobThatTheDelegateCannotDecodeRunsLocally(t *testing.T) {
	tests := []struct {
		name  string
		steps int
		label string
	}{
		{"many steps", dispatcher.MaxTasks + 1, ""},
		{"long label", 1, strings.Repeat("l", 300)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			target := newMemoryTarget(10 * time.Millisecond)
			small, large := newPair(t, target)
			targets := []scheduler.Target{{ID: "t", Service: "work", Domain: "a", Labels: []string{test.label}, Capacity: scheduler.Resources{MilliCores: 320000, MemoryMB: 1 << 20}}}
			small.SetTargets(targets)
			large.SetTargets(targets)
			job := memoryJob("j", 1)
			first := job.Steps[0]
			job.Steps = nil
			for number := range test.steps {
				step := first
				step.Tasks, step.Label = []string{fmt.Sprintf("j.0.%d.0", number)}, test.label
				job.Steps = append(job.Steps, step)
			}
			_, complete := (<-small.submit(t.Context(), job)).(dispatcher.Complete)
			is.True(complete)
			is.Equal(target.readLocked(func() int { return target.startsBy["small"] }), test.steps)
		})
	}
}

// A planned stop must wait for the jobs that the instance runs for others.
func TestDrainWaitsForDelegatedJobs(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(100 * time.Millisecond)
	small, large := newPair(t, target)
	outcome := small.submit(t.Context(), memoryJob("j", 1))
	await(t, "the job runs", func() bool { return target.readLocked(func() int { return len(target.running) }) == 1 })
	large.Leave(time.Now().Add(time.Minute))
	large.Drain(t.Context())
	large.links.Flush(t.Context())
	large.links.Close()
	_, complete := (<-outcome).(dispatcher.Complete)
	is.True(complete)
}

// A caller must get an answer before the instance stops that has delegated its job, whether that was before or after the stop began.
func TestDelegatedJobsAreAnsweredAtAPlannedStop(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(time.Hour)
	small, _ := newPair(t, target)
	before := small.submit(t.Context(), memoryJob("before", 1))
	await(t, "the job runs", func() bool { return target.readLocked(func() int { return len(target.running) }) == 1 })
	small.Leave(time.Now().Add(300 * time.Millisecond))
	after := small.submit(t.Context(), memoryJob("after", 1))
	for _, outcome := range []<-chan dispatcher.Outcome{before, after} {
		switch outcome := (<-outcome).(type) {
		case dispatcher.Unknown, dispatcher.Refused:
		default:
			t.Errorf("outcome %v", outcome)
		}
	}
	is.True(!small.Has("before") && !small.Has("after"))
	await(t, "the runs are stopped", func() bool { return target.readLocked(func() int { return len(target.running) }) == 0 })
}

// Times must not shift when a job is delegated between instances with different clocks, and steps must keep their order
// and limits.
func TestDelegatedJobKeepsItsTimes(t *testing.T) {
	is := is.New(t)
	sent := time.Unix(1_000_000, 0)
	job := memoryJob("j", 2)
	job.Arrived, job.Deadline, job.Objective = sent.Add(-3*time.Millisecond), sent.Add(time.Second), sent.Add(200*time.Millisecond)
	job.Body, job.Priority = "text", 2
	job.Steps = append(job.Steps, scheduler.Step{Tasks: []string{"j.0.1.0"}, Resources: scheduler.Resources{MemoryMB: 1, Accelerators: 2}, DependsOn: []int{0}, Label: "l", MaxPerTarget: 1})
	received := sent.Add(time.Hour)
	message := encodeJob(&job, sent)
	moved, err := decodeJob(&message, received)
	is.NoErr(err)
	is.Equal(moved.Arrived, received.Add(-3*time.Millisecond))
	is.Equal(moved.Deadline, received.Add(time.Second))
	is.Equal(moved.Objective, received.Add(200*time.Millisecond))
	moved.Arrived, moved.Deadline, moved.Objective = job.Arrived, job.Deadline, job.Objective
	is.Equal(moved, job)
}

// A malformed delegation must neither end the process, as a step that depends on a missing one did, nor run: it is
// refused, and the instance goes on.
func TestMalformedDelegationIsRefused(t *testing.T) {
	valid := func() linker.Delegation {
		job := memoryJob("j", 2)
		return encodeJob(&job, time.Now())
	}
	tests := []struct {
		name   string
		change func(*linker.Delegation)
	}{
		{"no ID", func(message *linker.Delegation) { message.Job = "" }},
		{"no steps", func(message *linker.Delegation) { message.Steps = nil }},
		{"no tasks", func(message *linker.Delegation) { message.Steps[0].Tasks = nil }},
		{"missing step", func(message *linker.Delegation) { message.Steps[0].DependsOn = []int{7} }},
		{"negative step", func(message *linker.Delegation) { message.Steps[0].DependsOn = []int{-1} }},
		{"itself", func(message *linker.Delegation) { message.Steps[0].DependsOn = []int{0} }},
		{"negative amount", func(message *linker.Delegation) { message.Steps[0].MilliCores = -1 }},
		{"task of another job", func(message *linker.Delegation) { message.Steps[0].Tasks[0] = "k.0.0.0" }},
		{"too many tasks", func(message *linker.Delegation) { message.Steps[0].Tasks = make([]string, maxDelegatedTasks+1) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			executor := newTestExecutor(t)
			message := valid()
			test.change(&message)
			executor.HandleDelegation("peer", message, 0)
			_, err := decodeJob(&message, time.Now())
			is.True(err != nil)
			is.True(!executor.Has(message.Job))
		})
	}
}

// A delegated job that reached this instance late must not start: its caller may have sent it again, and the two runs
// would overlap until the request to abandon the first one arrives.
func TestDelayedDelegationIsRefused(t *testing.T) {
	is := is.New(t)
	executor := newTestExecutor(t)
	job := memoryJob("j", 2)
	job.Arrived, job.Deadline = time.Now(), time.Now().Add(time.Minute)
	job.Objective = job.Deadline
	message := encodeJob(&job, time.Now())
	executor.HandleDelegation("peer", message, 3*time.Second)
	is.True(!executor.Has("j"))
	executor.HandleDelegation("peer", message, 100*time.Millisecond)
	is.True(executor.Has("j"))
}

// A panic while a job is accepted must not keep the lock: all later requests, and the readiness check, would hang.
func TestPanicLeavesTheExecutorUsable(t *testing.T) {
	is := is.New(t)
	executor := newTestExecutor(t)
	faulty := memoryJob("j", 1)
	faulty.Deadline = time.Now().Add(time.Minute)
	faulty.Steps[0].DependsOn = []int{7}
	func() {
		defer func() { is.True(recover() != nil) }()
		executor.Submit(t.Context(), faulty)
	}()
	answered := make(chan struct{})
	go func() {
		executor.Has("j")
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(10 * time.Second):
		t.Fatal("the lock is still held")
	}
}
