package executor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/locator"
)

// A caller may move to another failure domain and hand its job in again there while its first connection stays open. The tasks
// must not run twice at once, and the caller must get the outcome on both connections.
func TestJobHandedInAgainElsewhereDoesNotRunTwice(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(3 * time.Second)
	members := newEquals(t, target, "one", "two")
	first := members[0].submit(t.Context(), memoryJob("j", 2))
	time.Sleep(1300 * time.Millisecond) // the shortest time after which callers repeat a request
	second := members[1].submit(t.Context(), memoryJob("j", 2))
	for _, outcome := range []<-chan dispatcher.Outcome{first, second} {
		_, complete := (<-outcome).(dispatcher.Complete)
		is.True(complete)
	}
	is.Equal(target.readLocked(func() int { return target.startsBy["one"] }), 2)
	is.Equal(target.readLocked(func() int { return target.startsBy["two"] }), 0)
}

// If the first connection ends, the job must go on for the second one.
func TestJoinedJobOutlivesItsFirstCaller(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(2 * time.Second)
	members := newEquals(t, target, "one", "two")
	leaving, leave := context.WithCancel(t.Context())
	first := members[0].submit(leaving, memoryJob("j", 1))
	awaitAnnouncement(t, members[1], "j")
	second := members[1].submit(t.Context(), memoryJob("j", 1))
	await(t, "the job is joined", func() bool { return members[0].waitersOf("j") == 2 })
	leave()
	is.Equal(<-first, nil)
	_, complete := (<-second).(dispatcher.Complete)
	is.True(complete)
	is.Equal(target.readLocked(func() int { return target.startsBy["one"] }), 1)
	is.Equal(target.readLocked(func() int { return target.startsBy["two"] }), 0)
}

// An announcement counts longer than its job, so that a job that has ended must run where its caller hands it in again.
func TestJobThatIsActiveNowhereRuns(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(20 * time.Millisecond)
	members := newEquals(t, target, "one", "two")
	members[1].mu.Lock()
	members[1].locator.Record("one", locator.KeyOf("j"), members[1].now())
	members[1].mu.Unlock()
	_, complete := (<-members[1].submit(t.Context(), memoryJob("j", 1))).(dispatcher.Complete)
	is.True(complete)
	is.Equal(target.readLocked(func() int { return target.startsBy["two"] }), 1)
}

// While the runs of an unreachable instance may go on, its jobs must not start elsewhere, and their callers must learn at once that
// their outcome is unknown. Once the runs have ended, the jobs must not be kept from running.
func TestJobOfUnreachableInstanceIsNotStarted(t *testing.T) {
	tests := []struct {
		name    string
		silence time.Duration
		lost    bool
		unknown bool
	}{
		{"without a link", 0, false, true},
		{"lost", locator.RunsEndAfter - time.Millisecond, true, true},
		{"lost, runs have ended", locator.RunsEndAfter, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, silentClient{}, time.Now, hclog.NewNullLogger())
				defer executor.Close()
				hello := linker.Hello{Domain: "a", Incarnation: "other", Weight: 1, Revision: linker.Revision}
				executor.peers.Receive(hello, linker.StateUpdate{ActiveJobs: []uint64{uint64(locator.KeyOf("j"))}})
				time.Sleep(test.silence)
				is.Equal(executor.peers.Alive("other"), !test.lost)
				_, unknown := executor.Submit(t.Context(), memoryJob("j", 1)).(dispatcher.Unknown)
				is.Equal(unknown, test.unknown) // otherwise refused, since no target is known
			})
		})
	}
}

// An instance that is joined must not answer "not run" for a job that it has, although the message was under way for long.
func TestLateJoinIsNotRefused(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(time.Second)
	members := newEquals(t, target, "one", "two")
	members[0].submit(t.Context(), memoryJob("j", 1))
	await(t, "the job runs", func() bool { return target.readLocked(func() int { return len(target.running) }) == 1 })
	job := memoryJob("j", 1)
	request := encodeJob(&job, time.Now())
	request.Joined = true
	members[0].HandleDelegation("two", request, 2*maxDelegationDelay)
	is.Equal(members[0].waitersOf("j"), 2)
}

// Two instances with outdated announcements of each other must not wait for each other.
func TestJoinedJobIsNotJoinedFurther(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(20 * time.Millisecond)
	members := newEquals(t, target, "one", "two")
	for i, member := range members {
		member.mu.Lock()
		member.locator.Record(members[1-i].self.Incarnation, locator.KeyOf("j"), member.now())
		member.mu.Unlock()
	}
	_, complete := (<-members[0].submit(t.Context(), memoryJob("j", 1))).(dispatcher.Complete)
	is.True(complete)
	is.Equal(target.readLocked(func() int { return target.startsBy["one"] + target.startsBy["two"] }), 1)
}

// An instance that delegates its jobs knows no announcements: its delegate has to join the job.
func TestDelegateJoinsJobOfAnotherInstance(t *testing.T) {
	is := is.New(t)
	target := newMemoryTarget(2 * time.Second)
	members := newEquals(t, target, "one", "two")
	first := members[0].submit(t.Context(), memoryJob("j", 1))
	awaitAnnouncement(t, members[1], "j")
	job := memoryJob("j", 1)
	members[1].HandleDelegation("small", encodeJob(&job, time.Now()), 0)
	await(t, "the job is joined", func() bool { return members[0].waitersOf("j") == 2 })
	_, complete := (<-first).(dispatcher.Complete)
	is.True(complete)
	is.Equal(target.readLocked(func() int { return target.startsBy["two"] }), 0)
}

// An instance that joins others must learn of the jobs that are active there before the next announcement.
func TestInstanceThatJoinsLearnsOfActiveJobs(t *testing.T) {
	target := newMemoryTarget(5 * time.Second)
	members := newEquals(t, target, "one", "two")
	members[0].submit(t.Context(), memoryJob("j", 1))
	awaitAnnouncement(t, members[1], "j")
	self := linker.Hello{Domain: "a", Name: "late", Incarnation: "late", Weight: 0.4}
	late := newMember(t, self, instanceClient{target, "late"}, linker.DefaultLimits(), nil, hclog.NewNullLogger())
	members = append(members, late)
	link(t, members, []linker.Peer{members[0].peer(), members[1].peer(), late.peer()})
	awaitAnnouncement(t, late, "j")
}

// awaitAnnouncement waits until an instance knows where a job is active.
func awaitAnnouncement(t *testing.T, member *member, job string) {
	t.Helper()
	await(t, "the job is announced", func() bool {
		member.mu.Lock()
		defer member.mu.Unlock()
		_, known := member.locator.Decide(job, member.peers.ContactWith, member.now()).(locator.Join)
		return known
	})
}

// waitersOf returns how many callers wait for a job.
func (member *member) waitersOf(job string) int {
	member.mu.Lock()
	defer member.mu.Unlock()
	return len(member.waiters[job])
}

// Requests and announcements wait side by side while an instance is paused. The job of such a request must not be run before the
// announcements are read.
func TestRequestsAfterAPauseAwaitAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		executor := newSettled(linker.Hello{Domain: "a", Name: "n1", Incarnation: "self"}, silentClient{}, time.Now, hclog.NewNullLogger())
		defer executor.Close()
		hello := linker.Hello{Domain: "a", Incarnation: "other", Weight: 1, Revision: linker.Revision}
		executor.peers.Receive(hello, hello)
		executor.mu.Lock()
		executor.lastTick = time.Now().Add(-time.Second)
		executor.mu.Unlock()
		outcome := make(chan dispatcher.Outcome, 1)
		go func() { outcome <- executor.Submit(t.Context(), memoryJob("j", 1)) }()
		synctest.Wait()
		executor.peers.Receive(hello, linker.StateUpdate{ActiveJobs: []uint64{uint64(locator.KeyOf("j"))}})
		_, joined := (<-outcome).(dispatcher.Unknown)
		is.True(joined) // without a link; a job that is not joined is refused, since no target is known
	})
}
