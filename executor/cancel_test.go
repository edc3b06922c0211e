package executor

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// newEquals returns instances of equal size that share one target and are linked.
func newEquals(t *testing.T, target *memoryTarget, names ...string) []*member {
	t.Helper()
	targets := []scheduler.Target{{ID: "t", Service: "work", Domain: "a", Capacity: scheduler.Resources{MilliCores: 320000, MemoryMB: 1 << 20}}}
	var members []*member
	var peers []linker.Peer
	for _, name := range names {
		self := linker.Hello{Domain: "a", Name: name, Incarnation: name, Weight: 0.4}
		added := newMember(t, self, instanceClient{target, name}, linker.DefaultLimits(), targets, hclog.NewNullLogger())
		members, peers = append(members, added), append(peers, added.peer())
	}
	link(t, members, peers)
	return members
}

func link(t *testing.T, members []*member, peers []linker.Peer) {
	t.Helper()
	for _, member := range members {
		member.links.SetMembers(peers)
	}
	for _, member := range members {
		await(t, "all instances know each other", func() bool { return len(member.peers.Live()) == len(peers)-1 })
	}
}

// A cancel must stop the job on whichever instance it runs, and the answer must say whether there was one.
func TestCancelReachesTheInstanceOfTheJob(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(time.Minute)
	members := newEquals(t, target, "one", "two", "three")
	outcome := members[0].submit(t.Context(), memoryJob("j", 2))
	await(t, "the job runs", func() bool { return target.readLocked(func() int { return len(target.running) }) == 2 })
	is.True(members[1].Cancel(t.Context(), "j"))
	_, unknown := (<-outcome).(dispatcher.Unknown)
	is.True(unknown)
	await(t, "all runs are stopped", func() bool { return target.readLocked(func() int { return target.stopped }) == 2 })
	is.True(!members[1].Cancel(t.Context(), "another job"))
	// The caller sends the job again, since it has got no answer.
	for _, member := range members {
		_, unknown = (<-member.submit(t.Context(), memoryJob("j", 2))).(dispatcher.Unknown)
		is.True(unknown)
	}
	is.Equal(target.readLocked(func() int { return len(target.running) }), 0)
}

// A job must not run on an instance that has missed its cancellation.
func TestInstanceThatJoinsLearnsOfCancellations(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(time.Minute)
	members := newEquals(t, target, "one", "two")
	is.True(!members[0].Cancel(t.Context(), "j"))
	self := linker.Hello{Domain: "a", Name: "late", Incarnation: "late", Weight: 0.4}
	late := newMember(t, self, instanceClient{target, "late"}, linker.DefaultLimits(), nil, hclog.NewNullLogger())
	members = append(members, late)
	link(t, members, []linker.Peer{members[0].peer(), members[1].peer(), late.peer()})
	await(t, "the instance knows of the cancellation", func() bool {
		late.mu.Lock()
		defer late.mu.Unlock()
		return late.scheduler.Cancelled("j")
	})
	_, unknown := (<-late.submit(t.Context(), memoryJob("j", 1))).(dispatcher.Unknown)
	is.True(unknown)
}

// An instance that does not answer may run the job, so that the cancel must not be answered as one of no job; nor must it be
// answered only once that instance is lost.
func TestCancelDoesNotWaitForASilentInstance(t *testing.T) {
	is := is.New(t)
	executor := newTestExecutor(t)
	hello := linker.Hello{Domain: "a", Incarnation: "silent", Revision: linker.Revision}
	executor.peers.Receive(hello, hello)
	is.True(executor.Cancel(t.Context(), "j"))
	executor.HandleStateUpdate("silent", linker.StateUpdate{CancelAnswers: []linker.CancelledAnswer{{Job: "j"}}}) // too late
	is.Equal(len(executor.cancelQueries), 0)
}

// memoryArchive is a CancellationArchive that records cancellations when recorded is closed.
type memoryArchive struct {
	recorded chan struct{}

	mu   sync.Mutex
	jobs []string
}

func (archive *memoryArchive) Archive(job string) <-chan struct{} {
	archive.mu.Lock()
	defer archive.mu.Unlock()
	archive.jobs = append(archive.jobs, job)
	return archive.recorded
}

func (archive *memoryArchive) count() int {
	archive.mu.Lock()
	defer archive.mu.Unlock()
	return len(archive.jobs)
}

// A cancel was acknowledged although the instance of the job could not be reached and no other one knew of it. If the one that had
// acknowledged it was killed, the job ran on. The acknowledgement must not wait long for a store that is away.
func TestCancelIsRecordedWhileAnInstanceCannotBeReached(t *testing.T) {
	is := is.New(t)
	executor := newTestExecutor(t)
	links := linker.New(executor.self, linker.DefaultLimits(), hclog.NewNullLogger(), executor.peers.Receive)
	defer links.Close()
	executor.peers.SetLinks(links)
	archive := &memoryArchive{recorded: make(chan struct{})}
	executor.SetCancellationArchive(archive)
	cancel := func(job string) (active bool, took time.Duration) {
		began := time.Now()
		active = executor.Cancel(t.Context(), job)
		return active, time.Since(began)
	}
	active, _ := cancel("j")
	is.True(!active)
	is.Equal(archive.count(), 0) // there is no other instance
	is.True(!executor.MayHaveMissedCancellations())

	// A paused process accepts connections and does not answer.
	paused, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = paused.Close() }()
	links.SetMembers([]linker.Peer{{Name: "paused", Incarnation: "paused", Address: paused.Addr().String()}})
	is.True(executor.MayHaveMissedCancellations())
	active, took := cancel("j")
	is.True(active) // it may be active there
	is.Equal(archive.count(), 1)
	is.True(took >= cancelRecordTimeout && took < 2*cancelRecordTimeout)
	close(archive.recorded)
	_, took = cancel("j")
	is.True(took < cancelRecordTimeout)
	is.Equal(archive.count(), 2)

	// Another instance that has it passes it on to the one that cannot be reached.
	archive.recorded = make(chan struct{})
	hello := linker.Hello{Domain: "a", Incarnation: "live", Revision: linker.Revision}
	executor.peers.Receive(hello, hello)
	go func() {
		for archive.count() < 3 {
			time.Sleep(time.Millisecond)
		}
		executor.HandleStateUpdate("live", linker.StateUpdate{CancelAnswers: []linker.CancelledAnswer{{Job: "j"}}})
	}()
	active, took = cancel("j")
	is.True(active)
	is.True(took < cancelTimeout+cancelRecordTimeout)
	executor.mu.Lock()
	defer executor.mu.Unlock()
	is.Equal(len(executor.cancelQueries), 0)
}

// A cancellation that another instance has recorded must stop the job here.
func TestRecordedCancellationStopsTheJob(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(time.Minute)
	members := newEquals(t, target, "one", "two")
	outcome := members[0].submit(t.Context(), memoryJob("j", 2))
	await(t, "the job runs", func() bool { return target.readLocked(func() int { return len(target.running) }) == 2 })
	members[0].ApplyCancellations([]string{"j", "another job"})
	_, unknown := (<-outcome).(dispatcher.Unknown)
	is.True(unknown)
	await(t, "all runs are stopped", func() bool { return target.readLocked(func() int { return target.stopped }) == 2 })
	_, unknown = (<-members[0].submit(t.Context(), memoryJob("another job", 1))).(dispatcher.Unknown)
	is.True(unknown)
}
