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

// memoryOrderer is a target in memory that several instances order.
type memoryOrderer struct {
	runTime time.Duration

	mu      sync.Mutex
	running map[scheduler.Run]time.Time
	ended   []scheduler.End
	stopped int
	// closed names the instances that have closed their idle connections.
	closed []string
	// starters counts the starts of each instance.
	starters map[string]int
}

func newMemoryOrderer(runTime time.Duration) *memoryOrderer {
	return &memoryOrderer{runTime: runTime, running: make(map[scheduler.Run]time.Time), starters: make(map[string]int)}
}

// boundOrderer is the orderer of one instance.
type boundOrderer struct {
	*memoryOrderer
	instance string
}

func (orderer boundOrderer) Start(_ context.Context, _ scheduler.Target, start scheduler.StartTask, _ time.Time) scheduler.StartResult {
	orderer.mu.Lock()
	defer orderer.mu.Unlock()
	orderer.running[start.Run] = time.Now()
	orderer.starters[orderer.instance]++
	return scheduler.StartTaken
}

func (orderer boundOrderer) Stop(_ context.Context, _ scheduler.Target, run scheduler.Run) error {
	orderer.mu.Lock()
	defer orderer.mu.Unlock()
	if _, ok := orderer.running[run]; ok {
		orderer.end(run, scheduler.Stopped)
		orderer.stopped++
	}
	return nil
}

func (orderer boundOrderer) CloseIdle() {
	orderer.mu.Lock()
	defer orderer.mu.Unlock()
	orderer.closed = append(orderer.closed, orderer.instance)
}

func (orderer *memoryOrderer) end(run scheduler.Run, cause scheduler.Cause) {
	delete(orderer.running, run)
	orderer.ended = append(orderer.ended, scheduler.End{Seq: int64(len(orderer.ended) + 1), Run: run, Cause: cause})
}

func (orderer boundOrderer) Poll(ctx context.Context, _ scheduler.Target, request PollRequest) (scheduler.PollResult, error) {
	select {
	case <-ctx.Done():
	case <-time.After(min(request.Wait, 5*time.Millisecond)):
	}
	now := time.Now()
	orderer.mu.Lock()
	defer orderer.mu.Unlock()
	poll := scheduler.PollResult{Incarnation: 1, Sent: now, Answered: now}
	for run, started := range orderer.running {
		if now.Sub(started) >= orderer.runTime {
			orderer.end(run, scheduler.Done)
			continue
		}
		poll.Running = append(poll.Running, scheduler.ActiveRun{Run: run})
	}
	for _, end := range orderer.ended {
		if end.Seq > request.Acknowledged {
			poll.Ended = append(poll.Ended, end)
		}
	}
	return poll, nil
}

func (orderer *memoryOrderer) count(value func() int) int {
	orderer.mu.Lock()
	defer orderer.mu.Unlock()
	return value()
}

// member is an executor with links to others.
type member struct {
	*Executor
	links  *linker.Linker
	server *httptest.Server
}

// newMember returns an executor that knows targets and has no links yet; it ends with the test.
func newMember(t *testing.T, self linker.Hello, client TargetClient, limits linker.Limits, targets []scheduler.Target) *member {
	t.Helper()
	added := &member{Executor: New(self, client, time.Now, hclog.NewNullLogger())}
	added.links = linker.New(self, limits, hclog.NewNullLogger(), added.Peers().Receive)
	added.Peers().SetLinks(added.links)
	added.server = httptest.NewServer(added.links)
	t.Cleanup(added.end)
	added.SetTargets(targets)
	return added
}

func (member *member) peer() linker.Peer {
	return linker.Peer{Name: member.self.Name, Incarnation: member.self.Incarnation, Address: strings.TrimPrefix(member.server.URL, "http://")}
}

// end ends the member as the end of its process does: its links are reset.
func (member *member) end() {
	member.links.Close()
	member.Executor.Close()
	member.server.Close()
}

// newPair returns a small and a large instance that are linked and know one target of the memory orderer.
func newPair(t *testing.T, orderer *memoryOrderer) (small, large *member) {
	t.Helper()
	targets := []scheduler.Target{{ID: "t", Service: "work", Domain: "a", Capacity: scheduler.Resources{MilliCores: 320000, MemoryMB: 1 << 20}}}
	var members []*member
	for _, instance := range []struct {
		name   string
		weight float64
	}{{"small", 0.144}, {"large", 0.8}} {
		self := linker.Hello{Domain: "a", Name: instance.name, Incarnation: instance.name, Weight: instance.weight}
		members = append(members, newMember(t, self, boundOrderer{orderer, instance.name}, linker.DefaultLimits(), targets))
	}
	small, large = members[0], members[1]
	peers := []linker.Peer{small.peer(), large.peer()}
	small.links.SetMembers(peers)
	large.links.SetMembers(peers)
	await(t, "the small instance passes its jobs on", func() bool {
		small.mu.Lock()
		defer small.mu.Unlock()
		return small.delegates
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

// submit runs a job and returns where its outcome will be.
func (member *member) submit(ctx context.Context, job scheduler.Job) <-chan dispatcher.Outcome {
	outcome := make(chan dispatcher.Outcome, 1)
	go func() { outcome <- member.Submit(ctx, job) }()
	return outcome
}

// Guards against jobs that small instances run themselves, and against answers that do not come back.
func TestSmallInstancePassesItsJobsOn(t *testing.T) {
	is := is.New(t)
	orderer := newMemoryOrderer(20 * time.Millisecond)
	small, _ := newPair(t, orderer)
	_, complete := (<-small.submit(t.Context(), memoryJob("j", 3))).(dispatcher.Complete)
	is.True(complete)
	is.Equal(orderer.count(func() int { return orderer.starters["large"] }), 3)
	is.Equal(orderer.count(func() int { return orderer.starters["small"] }), 0)
	is.True(!small.Has("j"))
	is.Equal(orderer.closed, []string{"small"}) // targets bound the connections of all instances
}

// Guards against runs that go on for a caller that has left or has cancelled its job.
func TestDelegatedJobIsAbandoned(t *testing.T) {
	is := is.New(t)
	orderer := newMemoryOrderer(time.Minute)
	small, large := newPair(t, orderer)
	ctx, cancel := context.WithCancel(t.Context())
	left := small.submit(ctx, memoryJob("left", 2))
	cancelled := small.submit(t.Context(), memoryJob("cancelled", 2))
	await(t, "both jobs run", func() bool { return orderer.count(func() int { return len(orderer.running) }) == 4 })
	is.True(small.Has("left"))
	cancel()
	is.Equal(<-left, nil)
	is.True(small.Cancel("cancelled"))
	_, unknown := (<-cancelled).(dispatcher.Unknown)
	is.True(unknown)
	await(t, "all runs are stopped", func() bool { return orderer.count(func() int { return orderer.stopped }) == 4 })
	is.True(!large.Has("left") && !large.Has("cancelled"))
	is.True(!small.Cancel("left"))
}

// Guards against a caller that waits for its deadline when the instance that ran its job is lost, and against a "not
// run" that nobody knows to be true.
func TestLossOfTheDelegateIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	orderer := newMemoryOrderer(time.Minute)
	small, large := newPair(t, orderer)
	outcome := small.submit(t.Context(), memoryJob("j", 1))
	await(t, "the job runs", func() bool { return orderer.count(func() int { return len(orderer.running) }) == 1 })
	large.links.Close()
	_, unknown := (<-outcome).(dispatcher.Unknown)
	is.True(unknown)
}

// Guards against runs that go on for an instance that is lost: its callers send their jobs again after 1,300 ms.
func TestLossOfTheOriginStopsItsRuns(t *testing.T) {
	orderer := newMemoryOrderer(time.Minute)
	small, _ := newPair(t, orderer)
	small.submit(t.Context(), memoryJob("j", 2))
	await(t, "the job runs", func() bool { return orderer.count(func() int { return len(orderer.running) }) == 2 })
	small.links.Close()
	await(t, "the runs are stopped", func() bool { return orderer.count(func() int { return orderer.stopped }) == 2 })
}

// Guards against a job that is lost because its delegate cannot be reached: what was not sent is run here.
func TestJobThatCannotBePassedOnIsRunHere(t *testing.T) {
	is := is.New(t)
	orderer := newMemoryOrderer(20 * time.Millisecond)
	small, _ := newPair(t, orderer)
	small.mu.Lock()
	answer := small.waitFor("j")
	small.delegate(memoryJob("j", 2), "nobody")
	small.mu.Unlock()
	_, complete := (<-answer).(dispatcher.Complete)
	is.True(complete)
	is.Equal(orderer.count(func() int { return orderer.starters["small"] }), 2)
}

// Guards against a planned stop that cuts off the jobs which an instance runs for others.
func TestDrainWaitsForDelegatedJobs(t *testing.T) {
	is := is.New(t)
	orderer := newMemoryOrderer(100 * time.Millisecond)
	small, large := newPair(t, orderer)
	outcome := small.submit(t.Context(), memoryJob("j", 1))
	await(t, "the job runs", func() bool { return orderer.count(func() int { return len(orderer.running) }) == 1 })
	large.Leave()
	large.Drain(t.Context())
	_, complete := (<-outcome).(dispatcher.Complete)
	is.True(complete)
}

// Guards against times that shift on the way: clocks of instances differ, and steps keep their order and bounds.
func TestDelegatedJobKeepsItsTimes(t *testing.T) {
	is := is.New(t)
	sent := time.Unix(1_000_000, 0)
	job := memoryJob("j", 2)
	job.Arrived, job.Deadline, job.Objective = sent.Add(-3*time.Millisecond), sent.Add(time.Second), sent.Add(200*time.Millisecond)
	job.Body, job.Priority = "text", 2
	job.Steps = append(job.Steps, scheduler.Step{Tasks: []string{"j.0.1.0"}, Resources: scheduler.Resources{MemoryMB: 1, Accelerators: 2}, DependsOn: []int{0}, Label: "l", MaxPerTarget: 1})
	received := sent.Add(time.Hour)
	message := encodeJob(&job, sent)
	moved := decodeJob(&message, received)
	is.Equal(moved.Arrived, received.Add(-3*time.Millisecond))
	is.Equal(moved.Deadline, received.Add(time.Second))
	is.Equal(moved.Objective, received.Add(200*time.Millisecond))
	moved.Arrived, moved.Deadline, moved.Objective = job.Arrived, job.Deadline, job.Objective
	is.Equal(moved, job)
}
