package executor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hyssoplift/hyssoplift/scheduler"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

// leasedTargets are in-memory targets that end runs when their lease expires, and record tasks that run twice at once.
type leasedTargets struct {
	runTime time.Duration
	// transit is how long the answer to a start request is under way; the target may end meanwhile.
	transit time.Duration

	mu sync.Mutex
	// random decides the fate of start requests to targets that cannot be reached. If it is nil, they are never sent.
	random  *rand.Rand
	targets map[string]*leasedTarget
	// runs holds the current run of each task, and history all runs that targets have accepted.
	runs       map[string]*placedRun
	history    map[string][]*placedRun
	violations []violation
	// started counts the starts of each job.
	started map[string]int
	// crashes counts the targets that crashed under each task that crashes its targets, and startsAfter the starts of the
	// task after crashesAllowed crashes.
	crashes     map[string]int
	startsAfter map[string]int
	// ends counts the targets that ended for reasons of their own, deadStarts the start requests that found their target
	// down, and unnoticed the runs that were accepted by another incarnation than the instance knew.
	ends, deadStarts, unnoticed int
}

// violation is a broken promise to the caller of a job.
type violation struct {
	job  string
	text string
}

// placedRun is a run that an incarnation of a target accepted from an instance.
type placedRun struct {
	target      string
	incarnation int64
	instance    string
	attempt     int64
	startedAt   time.Time
	// endedAt is zero while the run goes on. ending says how it ended, and crashed whether its target crashed under it.
	endedAt time.Time
	ending  string
	crashed bool
}

// soakTimeFormat is the format of times in the output of the soak and in the logs of its instances.
const soakTimeFormat = "15:04:05.000"

// String describes the run and its end.
func (placed *placedRun) String() string {
	end := "goes on"
	switch {
	case placed.crashed:
		end = fmt.Sprintf("the target crashed at %s because of %s", placed.endedAt.Format(soakTimeFormat), placed.ending)
	case !placed.endedAt.IsZero():
		end = fmt.Sprintf("%s at %s", placed.ending, placed.endedAt.Format(soakTimeFormat))
	}
	return fmt.Sprintf("attempt %d of %s accepted by %s, incarnation %d, at %s: %s",
		placed.attempt, placed.instance, placed.target, placed.incarnation, placed.startedAt.Format(soakTimeFormat), end)
}

// leasedClient is the TargetClient of one instance.
type leasedClient struct {
	*leasedTargets
	instance string
}

type leasedTarget struct {
	id          string
	incarnation int64
	// downUntil is when the target is back after a crash.
	downUntil time.Time
	// Until cutUntil, requests do not reach the target or, if answersLost is set, its answers are lost.
	cutUntil       time.Time
	answersLost    bool
	leaseEnd       time.Time
	running        map[scheduler.Run]time.Time
	ended          []scheduler.End
	highestAttempt map[string]int64
}

func newLeasedTargets(count int, runTime time.Duration) *leasedTargets {
	targets := &leasedTargets{
		runTime: runTime, targets: make(map[string]*leasedTarget), runs: make(map[string]*placedRun), history: make(map[string][]*placedRun),
		started: make(map[string]int), crashes: make(map[string]int), startsAfter: make(map[string]int),
	}
	for number := range count {
		id := fmt.Sprintf("t%d", number)
		targets.targets[id] = &leasedTarget{id: id, incarnation: 1, running: make(map[scheduler.Run]time.Time), highestAttempt: make(map[string]int64)}
	}
	return targets
}

// infos returns the targets as service discovery shows them: the incarnations that are back.
func (targets *leasedTargets) infos() []scheduler.Target {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	infos := make([]scheduler.Target, 0, len(targets.targets))
	for id, target := range targets.targets {
		incarnation := target.incarnation
		if time.Now().Before(target.downUntil) {
			incarnation--
		}
		infos = append(infos, scheduler.Target{ID: id, Service: "work", Domain: "a", Capacity: scheduler.Resources{MilliCores: 8000, MemoryMB: 1 << 20}, Incarnation: incarnation})
	}
	return infos
}

// pick returns the IDs of up to count targets that are up, or only of those without runs if idle is set, in random order.
func (targets *leasedTargets) pick(count int, idle bool, random *rand.Rand) []string {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	targets.endRuns(time.Now())
	var ids []string
	for id, target := range targets.targets {
		if time.Now().After(target.downUntil) && !(idle && len(target.running) > 0) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(count, len(ids))]
}

// endTarget ends a target that is up; it is back after downTime.
func (targets *leasedTargets) endTarget(id, cause string, downTime time.Duration) {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	if target := targets.targets[id]; time.Now().After(target.downUntil) {
		targets.endRuns(time.Now())
		targets.crash(target, cause, downTime)
		targets.ends++
	}
}

// cutOff cuts the link to a target for some time, from the target only if answersLost is set.
func (targets *leasedTargets) cutOff(id string, answersLost bool, duration time.Duration) {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	target := targets.targets[id]
	target.cutUntil, target.answersLost = time.Now().Add(duration), answersLost
}

// reach reports whether requests reach the target, and whether its answers arrive; the caller holds the lock.
func (target *leasedTarget) reach() (requests, answers bool) {
	cut := time.Now().Before(target.cutUntil)
	return !cut || target.answersLost, !cut
}

// crashesUnder returns the number of targets that crashed while a task ran there, whichever task caused it; the caller
// holds the lock.
func (targets *leasedTargets) crashesUnder(task string) int {
	count := 0
	for _, placed := range targets.history[task] {
		if placed.crashed {
			count++
		}
	}
	return count
}

// violate records a broken promise; the caller holds the lock.
func (targets *leasedTargets) violate(job, format string, values ...any) {
	targets.violations = append(targets.violations, violation{job, fmt.Sprintf(format, values...)})
}

// end ends a run; the caller holds the lock.
func (targets *leasedTargets) end(target *leasedTarget, run scheduler.Run, cause scheduler.Cause) {
	targets.forget(target, run, cause.String(), false)
	target.highestAttempt[run.Task] = max(target.highestAttempt[run.Task], run.Attempt)
	target.ended = append(target.ended, scheduler.End{Seq: int64(len(target.ended) + 1), Run: run, Cause: cause})
}

// forget removes a run that has ended, or whose target crashed; the caller holds the lock.
func (targets *leasedTargets) forget(target *leasedTarget, run scheduler.Run, ending string, crashed bool) {
	delete(target.running, run)
	for _, placed := range targets.history[run.Task] {
		if placed.target == target.id && placed.incarnation == target.incarnation && placed.attempt == run.Attempt && placed.endedAt.IsZero() {
			placed.endedAt, placed.ending, placed.crashed = time.Now(), ending, crashed
		}
	}
	delete(targets.runs, run.Task)
}

// endRuns ends the runs that are done or whose lease has expired; the caller holds the lock.
func (targets *leasedTargets) endRuns(now time.Time) {
	for _, target := range targets.targets {
		for run, started := range target.running {
			switch {
			case now.Sub(started) >= targets.runTime:
				targets.end(target, run, scheduler.Done)
			case now.After(target.leaseEnd):
				targets.end(target, run, scheduler.Lapsed)
			}
		}
	}
}

// crash ends all runs of a target, which is back after downTime with another incarnation; the caller holds the lock.
func (targets *leasedTargets) crash(target *leasedTarget, cause string, downTime time.Duration) {
	now := time.Now()
	for run := range target.running {
		targets.forget(target, run, cause, true)
	}
	clear(target.highestAttempt)
	target.ended, target.leaseEnd, target.incarnation, target.downUntil = nil, time.Time{}, target.incarnation+1, now.Add(downTime)
}

// Start sends the request once more if the target ends before it has answered, as the clients of targets do.
func (client leasedClient) Start(ctx context.Context, on scheduler.Target, start scheduler.StartTask, lease time.Time) scheduler.StartResult {
	client.mu.Lock()
	target := client.targets[on.ID]
	incarnation := target.incarnation
	requests, answers := target.reach()
	result := client.unreached()
	if requests {
		result = client.accept(target, start, lease)
	}
	if result == scheduler.StartTaken && incarnation != on.Incarnation {
		client.unnoticed++
	}
	client.mu.Unlock()
	if !answers {
		<-ctx.Done()
		if requests {
			return scheduler.StartUnanswered
		}
		return result
	}
	if result != scheduler.StartTaken || client.transit == 0 {
		return result
	}
	time.Sleep(client.transit)
	client.mu.Lock()
	defer client.mu.Unlock()
	if target.incarnation != incarnation && client.accept(target, start, lease) != scheduler.StartTaken {
		return scheduler.StartUnanswered
	}
	return scheduler.StartTaken
}

// unreached returns the result of a start request that does not reach its target. It is unanswered if it was sent on a
// connection from before the target was lost. The caller holds the lock.
func (targets *leasedTargets) unreached() scheduler.StartResult {
	if targets.random != nil && targets.random.IntN(4) == 0 {
		return scheduler.StartUnanswered
	}
	return scheduler.StartUnsent
}

// accept handles a start request that reaches the target's host; the caller holds the lock.
func (client leasedClient) accept(target *leasedTarget, start scheduler.StartTask, lease time.Time) scheduler.StartResult {
	now := time.Now()
	client.endRuns(now)
	if _, ok := target.running[start.Run]; ok {
		return scheduler.StartTaken
	}
	switch {
	case now.Before(target.downUntil):
		client.deadStarts++
		return client.unreached()
	case now.After(lease):
		return scheduler.StartLate
	case start.Run.Attempt <= target.highestAttempt[start.Run.Task]:
		return scheduler.StartStale
	case len(target.running) >= 8:
		return scheduler.StartNoRoom
	}
	if other, ok := client.runs[start.Run.Task]; ok {
		client.violate(start.Job, "%s starts on %s (%s, attempt %d) while attempt %d of %s runs on %s for %v",
			start.Run.Task, target.id, client.instance, start.Run.Attempt, other.attempt, other.instance, other.target, now.Sub(other.startedAt))
	}
	placed := &placedRun{target: target.id, incarnation: target.incarnation, instance: client.instance, attempt: start.Run.Attempt, startedAt: now}
	client.runs[start.Run.Task], client.history[start.Run.Task] = placed, append(client.history[start.Run.Task], placed)
	client.started[start.Job]++
	target.running[start.Run] = now
	if start.Body == crashingBody {
		if client.crashes[start.Run.Task] >= crashesAllowed {
			client.startsAfter[start.Run.Task]++
		}
		client.crashes[start.Run.Task]++
		client.crash(target, start.Run.Task, crashDownTime)
		return scheduler.StartUnanswered
	}
	if lease.After(target.leaseEnd) {
		target.leaseEnd = lease
	}
	return scheduler.StartTaken
}

func (targets *leasedTargets) Stop(ctx context.Context, on scheduler.Target, run scheduler.Run) error {
	answers, err := targets.stop(targets.targets[on.ID], run)
	if !answers {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// stop handles a stop request and reports whether its answer arrives.
func (targets *leasedTargets) stop(target *leasedTarget, run scheduler.Run) (answers bool, err error) {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	requests, answers := target.reach()
	switch {
	case !requests:
		return false, nil
	case time.Now().Before(target.downUntil):
		return answers, syscall.ECONNREFUSED
	}
	if _, ok := target.running[run]; ok {
		targets.end(target, run, scheduler.Stopped)
	}
	target.highestAttempt[run.Task] = max(target.highestAttempt[run.Task], run.Attempt)
	return answers, nil
}

// Poll answers after 10 ms at most, unless the target is cut off meanwhile.
func (targets *leasedTargets) Poll(ctx context.Context, on scheduler.Target, request PollRequest) (scheduler.PollResult, error) {
	sent := time.Now()
	target := targets.targets[on.ID]
	incarnation, answers, err := targets.renewLease(target, request.Lease)
	if err != nil {
		return scheduler.PollResult{}, err
	}
	if answers {
		sleeper.For(ctx, min(request.Wait, 10*time.Millisecond))
		answers = targets.answers(target)
	}
	if !answers {
		<-ctx.Done()
		return scheduler.PollResult{}, ctx.Err()
	}
	now := time.Now()
	targets.mu.Lock()
	defer targets.mu.Unlock()
	targets.endRuns(now)
	if target.incarnation != incarnation {
		return scheduler.PollResult{}, syscall.ECONNRESET
	}
	poll := scheduler.PollResult{Incarnation: incarnation, Sent: sent, Answered: now}
	for run := range target.running {
		poll.Running = append(poll.Running, scheduler.ActiveRun{Run: run})
	}
	for _, end := range target.ended {
		if end.Seq > request.Acknowledged {
			poll.Ended = append(poll.Ended, end)
		}
	}
	return poll, nil
}

// renewLease handles the request of a poll. It returns the incarnation that it reached, and whether answers arrive.
func (targets *leasedTargets) renewLease(target *leasedTarget, lease time.Time) (incarnation int64, answers bool, err error) {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	requests, answers := target.reach()
	down := time.Now().Before(target.downUntil)
	switch {
	case answers && down:
		return 0, true, syscall.ECONNREFUSED
	case requests && !down && lease.After(target.leaseEnd):
		target.leaseEnd = lease
	}
	return target.incarnation, answers, nil
}

// answers reports whether the answers of a target arrive.
func (targets *leasedTargets) answers(target *leasedTarget) bool {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	_, answers := target.reach()
	return answers
}

func (*leasedTargets) CloseIdle() {}

func (*leasedTargets) SetConnectionLimits(map[string]int) {}

// describeRuns lists the accepted runs of the tasks of a job; the caller holds the lock.
func (targets *leasedTargets) describeRuns(tasks []string) string {
	var text strings.Builder
	for _, task := range tasks {
		fmt.Fprintf(&text, "\n  %s: %d targets crashed under it", task, targets.crashesUnder(task))
		for _, placed := range targets.history[task] {
			fmt.Fprintf(&text, "\n    %s", placed)
		}
	}
	return text.String()
}
