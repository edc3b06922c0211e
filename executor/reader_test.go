package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// A reader that was the reader before must list the runs again: those whose owner was lost meanwhile are claimed by nobody, and
// the target seems to be idle.
func TestReaderPollsATargetThatItReadsAgain(t *testing.T) {
	is := is.New(t)
	executor, poller := newAcknowledgingPoller(t, &restartedClient{incarnation: 1}, true)
	now := time.Now()
	executor.mu.Lock()
	defer executor.mu.Unlock()
	other := linker.Hello{Domain: "a", Incarnation: "other"}
	poller.incarnationSince = executor.scheduler.TargetState("t").IncarnationSince
	for _, reader := range []linker.Hello{other, executor.self} {
		executor.assignReader(poller, readerCandidates{[]linker.Hello{reader}, map[string][]linker.Hello{"a": {reader}}}, now)
	}
	is.True(poller.isReader.Load())
	_, pause := poller.nextPoll(executor.scheduler.TargetState("t"), now)
	is.True(pause <= pollWait)
}

// A poll that renews no lease must not be held back for long: the claims for which the next one renews it arrive meanwhile, and
// owners no longer renew the lease themselves when they miss their reader.
func TestNextReaderIsNotHeldBackByAPollThatRenewsNothing(t *testing.T) {
	is := is.New(t)
	executor, poller := newAcknowledgingPoller(t, &restartedClient{incarnation: 1}, true)
	now := time.Now()
	executor.mu.Lock()
	defer executor.mu.Unlock()
	poller.incarnationSince = executor.scheduler.TargetState("t").IncarnationSince
	run := scheduler.ActiveRun{Run: scheduler.Run{Task: "j.0.0.0", Attempt: 1}}
	executor.scheduler.HandlePoll("t", scheduler.PollResult{Incarnation: 1, Running: []scheduler.ActiveRun{run}, Sent: now, Answered: now})
	state := executor.scheduler.TargetState("t")
	is.True(!state.MayRenew(now))
	request, _ := poller.nextPoll(state, now)
	is.True(request.Wait < pollWait)
}
