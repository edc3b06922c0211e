package keeper_test

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/checker"
	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
)

var (
	schedules = flag.Int("schedules", 200, "number of random schedules")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first random schedule")
	workers   = flag.Int("workers", 2, "schedules run at the same time")
)

// jobSpec describes one job of a schedule.
type jobSpec struct {
	key          string
	body         string
	unrepeatable bool
}

// submit submits a job, or cancels it, through the node in a slot.
func (simulation *simulation) submit(slot int, job jobSpec, cancel bool, wait, timeout time.Duration) {
	simulation.submissions++
	id := simulation.submissions
	if !cancel {
		simulation.record(checker.Submitted{
			Timestamp: simulation.nextTimestamp(), Submission: id, Key: job.key, Digest: job.body, Tasks: []string{"a", "b"}, Unrepeatable: job.unrepeatable,
		})
	}
	answered := false
	var digest dispatcher.Digest
	copy(digest[:], job.body)
	request := &request{
		body: job.body, cancel: cancel,
		submission: keeper.Submission{Key: job.key, Digest: digest, Deadline: simulation.now.Add(timeout), Unrepeatable: job.unrepeatable},
	}
	request.reply = func(outcome dispatcher.Outcome, decided time.Time) {
		if !answered {
			answered = true
			simulation.answer(id, job, cancel, outcome, decided)
		}
	}
	simulation.after(simulation.between(time.Millisecond, 3*time.Millisecond), func() {
		node := simulation.slots[slot]
		node.runOrQueue(func() { node.accept(request, wait) })
	})
}

// answer records the answer that the caller receives.
func (simulation *simulation) answer(id int64, job jobSpec, cancel bool, outcome dispatcher.Outcome, decided time.Time) {
	timestamp := simulation.nextTimestamp()
	if cancel {
		if refused, isRefused := outcome.(dispatcher.Refused); isRefused && refused.Reason() == dispatcher.ReasonCancelled {
			simulation.record(checker.Cancelled{Timestamp: timestamp, Key: job.key, Decided: decided})
		}
		return
	}
	switch outcome := outcome.(type) {
	case dispatcher.Complete:
		answered := checker.CompleteAnswer{Timestamp: timestamp, Submission: id, Key: job.key}
		for _, result := range outcome.Results() {
			answered.Tasks, answered.Digest = append(answered.Tasks, result.Name), string(result.Result)
		}
		simulation.record(answered)
	case dispatcher.Failed:
		simulation.record(checker.FailedAnswer{Timestamp: timestamp, Submission: id})
	case dispatcher.Refused:
		simulation.record(checker.Refused{Timestamp: timestamp, Submission: id, Decided: decided})
	case dispatcher.Unknown:
		simulation.unknownAnswers++
		simulation.record(checker.UnknownAnswer{Timestamp: timestamp, Submission: id})
	}
}

// scheduleJob schedules the requests of one job: resubmissions to any instance at any time, cancellations that race
// with a start, deadlines that pass in the queue, and reuse of the key with another body.
func (simulation *simulation) scheduleJob(number int, at time.Duration) {
	simulation.after(at, func() {
		job := jobSpec{body: fmt.Sprintf(`"%d"`, number), unrepeatable: simulation.scheduleRandom.chance(0.3)}
		text := fmt.Sprint("job", number)
		slot := simulation.scheduleRandom.IntN(len(simulation.slots))
		switch job.key = text; {
		case simulation.scheduleRandom.chance(0.25):
			job.unrepeatable = false
		default:
			job.key = simulation.slots[slot].decider.KeyPrefix(simulation.now) + text
		}
		for range 1 + simulation.scheduleRandom.IntN(4) {
			slot := simulation.scheduleRandom.IntN(len(simulation.slots))
			resubmitted := job
			if simulation.scheduleRandom.chance(0.05) {
				resubmitted.body = `"other"`
			}
			delay := simulation.scheduleRandom.between(0, 2*time.Second)
			if simulation.scheduleRandom.chance(0.4) {
				delay = simulation.scheduleRandom.between(0, 45*time.Second)
			}
			cancel := simulation.scheduleRandom.chance(0.15)
			simulation.after(delay, func() { simulation.submitRandom(slot, resubmitted, cancel) })
		}
	})
}

// submitRandom submits or cancels a job with a random wait in the queue and a random deadline.
func (simulation *simulation) submitRandom(slot int, job jobSpec, cancel bool) {
	wait, timeout := time.Duration(0), 5*time.Second
	if simulation.scheduleRandom.chance(0.3) {
		wait = simulation.scheduleRandom.between(0, 300*time.Millisecond)
	}
	if simulation.scheduleRandom.chance(0.2) {
		timeout = simulation.scheduleRandom.between(time.Millisecond, 200*time.Millisecond)
	}
	simulation.submit(slot, job, cancel, wait, timeout)
}

// scheduleFaults schedules faults at random times, and kills or freezes nodes at random fault points.
func (simulation *simulation) scheduleFaults(length time.Duration) {
	for range simulation.scheduleRandom.IntN(8) {
		simulation.after(simulation.scheduleRandom.between(0, length), func() { simulation.injectFault() })
	}
	probability := []float64{0, 0.01, 0.05}[simulation.scheduleRandom.IntN(3)]
	simulation.onFaultPoint = func(_ faultPoint, node *node) {
		if simulation.chance(probability) {
			simulation.killOrFreeze(node)
		}
	}
}

func (simulation *simulation) killOrFreeze(node *node) {
	if simulation.chance(0.5) {
		simulation.kill(node, simulation.between(100*time.Millisecond, 8*time.Second))
	} else {
		simulation.freeze(node, simulation.between(time.Second, 40*time.Second))
	}
}

func (simulation *simulation) injectFault() {
	size := len(simulation.slots)
	duration := simulation.scheduleRandom.between(time.Second, 30*time.Second)
	a, b := simulation.scheduleRandom.IntN(size), simulation.scheduleRandom.IntN(size)
	switch simulation.scheduleRandom.IntN(9) {
	case 0:
		simulation.killOrFreeze(simulation.slots[a])
	case 1:
		for other := range size {
			simulation.cut(a, other, duration)
		}
	case 2:
		simulation.cut(a, b, duration)
	case 3:
		simulation.logCuts[a] = true
		simulation.after(duration, func() { delete(simulation.logCuts, a) })
	case 4:
		simulation.logDown = true
		simulation.after(duration, func() { simulation.logDown = false })
	case 5:
		simulation.slots[a].leaving = simulation.now.Add(8 * time.Second)
	case 6:
		for i, node := range simulation.slots {
			simulation.after(time.Duration(i)*4*time.Second, func() { node.leaving = simulation.now.Add(8 * time.Second) })
		}
	case 7:
		for _, node := range simulation.slots {
			if simulation.chance(0.8) {
				simulation.kill(node, simulation.scheduleRandom.between(0, 3*time.Second))
			}
		}
	case 8:
		simulation.trimmed = max(simulation.trimmed, int64(len(simulation.log))-int64(simulation.scheduleRandom.IntN(4)))
	}
}

func (simulation *simulation) cut(a, b int, duration time.Duration) {
	if a == b {
		return
	}
	pair := [2]int{min(a, b), max(a, b)}
	simulation.cuts[pair] = true
	simulation.after(duration, func() { delete(simulation.cuts, pair) })
}

// runSchedule runs one random schedule. Both versions get the same jobs, resubmissions and faults at the same times;
// message delays and faults at fault points depend on what the version does.
func runSchedule(seed uint64, naive bool) *simulation {
	simulation := newSimulation(seed, naive, 2+int(seed%4))
	simulation.lossy = simulation.scheduleRandom.chance(0.5)
	if simulation.scheduleRandom.chance(0.15) {
		simulation.limits.MaxRecords = 2 + simulation.scheduleRandom.IntN(6)
		for _, node := range simulation.slots {
			simulation.kill(node, 0)
		}
	}
	if simulation.scheduleRandom.chance(0.7) {
		simulation.run(2 * time.Second)
	}
	const length = 60 * time.Second
	for number := range 12 {
		simulation.scheduleJob(number, simulation.scheduleRandom.between(0, length))
	}
	simulation.scheduleFaults(length)
	simulation.run(length + 40*time.Second)
	return simulation
}

// summary counts the violations of each guarantee by one version.
type summary struct {
	mutex          sync.Mutex
	violations     map[checker.Guarantee]int
	seeds          map[checker.Guarantee][]uint64
	submitted      int
	unknownAnswers int
}

func (summary *summary) add(seed uint64, simulation *simulation) {
	summary.mutex.Lock()
	defer summary.mutex.Unlock()
	summary.submitted += int(simulation.submissions)
	summary.unknownAnswers += simulation.unknownAnswers
	for _, violation := range simulation.check() {
		summary.violations[violation.Guarantee()]++
		seeds := summary.seeds[violation.Guarantee()]
		if len(seeds) < 5 && !slices.Contains(seeds, seed) {
			summary.seeds[violation.Guarantee()] = append(seeds, seed)
		}
	}
}

func runSchedules(naive bool) *summary {
	summary := &summary{violations: map[checker.Guarantee]int{}, seeds: map[checker.Guarantee][]uint64{}}
	var next atomic.Uint64
	var group sync.WaitGroup
	for range min(*workers, runtime.NumCPU()) {
		group.Go(func() {
			for turn := next.Add(1); turn <= uint64(*schedules); turn = next.Add(1) {
				seed := *firstSeed + turn - 1
				summary.add(seed, runSchedule(seed, naive))
			}
		})
	}
	group.Wait()
	return summary
}

// TestRandomSchedules guards against faults and combinations of faults under which the protocol violates a guarantee.
// The naive version runs the same schedules and must violate guarantees, or the schedules are too weak.
func TestRandomSchedules(t *testing.T) {
	is := is.New(t)
	if testing.Short() {
		// The race detector makes the schedules ten times slower.
		*schedules = min(*schedules, 50)
	}
	baseline, real := runSchedules(true), runSchedules(false)
	for _, guarantee := range checker.Guarantees() {
		t.Logf("%-16s naive %d (seeds %v), real %d (seeds %v)", guarantee, baseline.violations[guarantee], baseline.seeds[guarantee],
			real.violations[guarantee], real.seeds[guarantee])
		for _, seed := range real.seeds[guarantee][:min(1, len(real.seeds[guarantee]))] {
			t.Logf("seed %d:\n%s", seed, describe(runSchedule(seed, false), guarantee))
		}
		is.Equal(real.violations[guarantee], 0) // a guarantee was violated; the first seeds are logged above
	}
	t.Logf("submitted %d and %d, unknown %d and %d", baseline.submitted, real.submitted, baseline.unknownAnswers, real.unknownAnswers)
	for _, guarantee := range []checker.Guarantee{checker.SingleStart, checker.AtMostOnce, checker.TrueRefusal, checker.OwnAnswer} {
		is.True(baseline.violations[guarantee] > 0) // the naive version must violate this guarantee
	}
}

// TestSeeds guards against the return of faults that random schedules have found. Each seed reproduced one.
func TestSeeds(t *testing.T) {
	is := is.New(t)
	for _, seed := range []uint64{
		// An unacknowledged cancellation was still answered as cancelled after the slice had had another owner.
		16560, 17116, 20392,
		18224, // the record of a cancelled plain key was still used after its retention
		2960,  // the record of a plain key was dropped while its holder was frozen between record and start
		88048, // a cancellation that a later owner reported again expired with the first report
		97034, // after its attempt failed, a request got the answer to another body (a fault of the node in this test)
	} {
		is.Equal(len(runSchedule(seed, false).check()), 0)
	}
}

// describe returns the first violation of a guarantee as text, or an empty string.
func describe(simulation *simulation, guarantee checker.Guarantee) string {
	for _, violation := range simulation.check() {
		if violation.Guarantee() == guarantee {
			return fmt.Sprintf("%s %+v", violation.Subject(), violation.Events())
		}
	}
	return ""
}
