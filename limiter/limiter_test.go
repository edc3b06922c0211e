package limiter

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// testRunTime is the declared and the measured run time of every task in TestRandomSequences, so that the mean run
// times stay constant.
const testRunTime = 100 * time.Millisecond

// modelJob is the reference model's state of one admitted job.
type modelJob struct {
	ticket   Ticket
	job      Job
	granted  int
	inFlight int
	closed   bool // cancelled, dropped or expired: no further task may be granted
}

func (modelJob *modelJob) remaining() int { return modelJob.job.tasks - modelJob.granted }

// sequence applies the same random operations to a limiter and to a reference model, which sorts all jobs at every
// step.
type sequence struct {
	*testing.T
	random     *rand.Rand
	limiter    *Limiter
	config     Config
	now        time.Time
	jobs       []*modelJob
	openGrants []Grant
	refused    int
	ended      int
}

// tasksInFlight returns the number of tasks in flight of the kind and of the team of job.
func (sequence *sequence) tasksInFlight(job Job) (kind, team int) {
	for _, modelJob := range sequence.jobs {
		if modelJob.job.kind == job.kind {
			kind += modelJob.inFlight
		}
		if modelJob.job.team == job.team {
			team += modelJob.inFlight
		}
	}
	return kind, team
}

// nextDue returns the job whose task must be granted next, or nil if none may be. The kind fullKind has no free target.
func (sequence *sequence) nextDue(fullKind string) *modelJob {
	jobs := slices.Clone(sequence.jobs)
	slices.SortFunc(jobs, func(a, b *modelJob) int {
		aStep, bStep := a.job.deadline.Truncate(time.Second), b.job.deadline.Truncate(time.Second)
		return cmp.Or(aStep.Compare(bStep), cmp.Compare(a.remaining(), b.remaining()), cmp.Compare(a.ticket, b.ticket))
	})
	for _, modelJob := range jobs {
		kind, team := sequence.tasksInFlight(modelJob.job)
		if !modelJob.closed && modelJob.remaining() > 0 && modelJob.job.deadline.After(sequence.now) && modelJob.job.kind != fullKind &&
			kind < sequence.config.Kinds[modelJob.job.kind].MaxInFlight && team < sequence.config.TeamQuotas[modelJob.job.team] {
			return modelJob
		}
	}
	return nil
}

func (sequence *sequence) find(ticket Ticket) *modelJob {
	return sequence.jobs[slices.IndexFunc(sequence.jobs, func(modelJob *modelJob) bool { return modelJob.ticket == ticket })]
}

func (sequence *sequence) admit() {
	job := NewJob(fmt.Sprint("kind-", sequence.random.IntN(3)), fmt.Sprint("team-", sequence.random.IntN(3)),
		sequence.random.IntN(14), sequence.now.Add(time.Duration(sequence.random.IntN(8000)-200)*time.Millisecond))
	impossible := job.tasks == 0 || job.tasks > sequence.config.Kinds[job.kind].MaxTasks || !job.deadline.After(sequence.now)
	before := len(sequence.limiter.jobs)
	switch decision := sequence.limiter.Admit(job, sequence.now).(type) {
	case Refused:
		sequence.refused++
		retry := decision.RetryAt()
		if len(sequence.limiter.jobs) != before || impossible != retry.IsZero() || !impossible && !retry.After(sequence.now) {
			sequence.Fatalf("%+v was refused with %+v", job, decision)
		}
	case Runnable:
		sequence.jobs = append(sequence.jobs, &modelJob{ticket: decision.Ticket(), job: job})
		if nextDue := sequence.nextDue(""); impossible || nextDue == nil || nextDue.ticket != decision.Ticket() {
			sequence.Fatalf("%+v may not run yet", job)
		}
	case Queued:
		sequence.jobs = append(sequence.jobs, &modelJob{ticket: decision.Ticket(), job: job})
		if impossible || decision.StartAt().Before(sequence.now) {
			sequence.Fatalf("%+v was queued with %+v", job, decision)
		}
	}
}

func (sequence *sequence) grant() {
	fullKind := fmt.Sprint("kind-", sequence.random.IntN(6)) // kind-3 to kind-5 do not occur, so that no kind is full
	nextDue := sequence.nextDue(fullKind)
	grant, ok := sequence.limiter.Next(sequence.now, func(kind string) bool { return kind != fullKind })
	switch {
	case ok != (nextDue != nil):
		sequence.Fatalf("granted: %v, want %v", ok, nextDue != nil)
	case !ok:
		return
	case grant.Ticket() != nextDue.ticket || grant.First() != (nextDue.granted == 0):
		sequence.Fatalf("granted %+v, want %+v", grant, nextDue)
	}
	nextDue.granted++
	nextDue.inFlight++
	sequence.openGrants = append(sequence.openGrants, grant)
}

func (sequence *sequence) release() {
	if len(sequence.openGrants) == 0 {
		return
	}
	i := sequence.random.IntN(len(sequence.openGrants))
	grant := sequence.openGrants[i]
	sequence.openGrants = slices.Delete(sequence.openGrants, i, i+1)
	sequence.find(grant.Ticket()).inFlight--
	grant.grantedAt = sequence.now.Add(-testRunTime)
	sequence.limiter.Release(grant, sequence.now)
}

func (sequence *sequence) cancelOrDrop() {
	if len(sequence.jobs) == 0 {
		return
	}
	modelJob := sequence.jobs[sequence.random.IntN(len(sequence.jobs))]
	active := !modelJob.closed && (modelJob.remaining() > 0 || modelJob.inFlight > 0)
	if sequence.random.IntN(2) == 0 {
		if got := sequence.limiter.CancelUngranted(modelJob.ticket); got != (active && modelJob.granted == 0) {
			sequence.Fatalf("cancelled %+v: %v", modelJob, got)
		} else if got {
			modelJob.closed = true
		}
		return
	}
	want := modelJob.remaining()
	if modelJob.closed {
		want = 0
	}
	if got := sequence.limiter.DropWaitingTasks(modelJob.ticket); got != want {
		sequence.Fatalf("dropped %d tasks of %+v, want %d", got, modelJob, want)
	}
	modelJob.closed = modelJob.closed || want > 0
}

func (sequence *sequence) expire() {
	for _, expired := range sequence.limiter.Expire(sequence.now) {
		modelJob := sequence.find(expired.Ticket())
		if modelJob.closed || modelJob.remaining() == 0 || modelJob.job.deadline.After(sequence.now) || modelJob.granted != expired.Granted() {
			sequence.Fatalf("expired %+v of %+v", expired, modelJob)
		}
		modelJob.closed = true
	}
	for _, modelJob := range sequence.jobs {
		if !modelJob.closed && modelJob.remaining() > 0 && !modelJob.job.deadline.After(sequence.now) {
			sequence.Fatalf("%+v did not expire", modelJob)
		}
	}
}

// check compares the state of the limiter with the reference model and removes finished jobs from the model.
func (sequence *sequence) check() {
	waiting, known := 0, 0
	for _, modelJob := range sequence.jobs {
		if !modelJob.closed && modelJob.remaining() > 0 {
			waiting++
		}
		if !modelJob.closed && modelJob.remaining() > 0 || modelJob.inFlight > 0 {
			known++
		}
	}
	if sequence.limiter.WaitingJobs() != waiting || len(sequence.limiter.jobs) != known || sequence.limiter.TasksInFlight() != len(sequence.openGrants) {
		sequence.Fatalf("waiting %d, want %d; known %d, want %d", sequence.limiter.WaitingJobs(), waiting, len(sequence.limiter.jobs), known)
	}
	before := len(sequence.jobs)
	sequence.jobs = slices.DeleteFunc(sequence.jobs, func(modelJob *modelJob) bool {
		return modelJob.inFlight == 0 && (modelJob.closed || modelJob.remaining() == 0)
	})
	sequence.ended += before - len(sequence.jobs)
}

// Guards against exceeded quotas and limits, a wrong order of grants, jobs that are lost or never removed, and
// cancellation of jobs that have started.
func TestRandomSequences(t *testing.T) {
	for seed := range uint64(8) {
		config := Config{
			Kinds: make(map[string]KindLimits), TeamQuotas: map[string]int{"team-0": 4, "team-1": 9, "team-2": 20},
			MaxQueued: 40, Order: NewByDeadline(time.Second),
		}
		for i := range 3 {
			config.Kinds[fmt.Sprint("kind-", i)] = KindLimits{MaxTasks: 10 + i, MaxInFlight: 5 + 5*i, RunTime: testRunTime}
		}
		sequence := &sequence{T: t, random: rand.New(rand.NewPCG(seed, 3)), limiter: New(config), config: config, now: time.Unix(1000, 0)}
		for range 10_000 {
			sequence.now = sequence.now.Add(time.Duration(sequence.random.IntN(10)) * time.Millisecond)
			switch draw := sequence.random.IntN(100); {
			case draw < 8:
				sequence.admit()
			case draw < 54:
				sequence.grant()
			case draw < 96:
				sequence.release()
			case draw < 98:
				sequence.cancelOrDrop()
			default:
				sequence.expire()
			}
			sequence.check()
		}
		if sequence.refused < 50 || sequence.ended < 100 {
			t.Fatalf("seed %d: %d refusals and %d ended jobs are too few to test the rules", seed, sequence.refused, sequence.ended)
		}
	}
}

// Guards against accepting jobs that can never run or whose wait in the queue exceeds the deadline, and against
// overload refusals without a retry time.
func TestRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	// Each configuration lets ten tasks run at once: by the limit of the kind, the quota of the team or the capacity of
	// the targets.
	config := func(kind, team int) Config {
		return Config{
			Kinds: map[string]KindLimits{
				"check": {MaxTasks: 20, MaxInFlight: kind, RunTime: time.Second},
				"off":   {MaxInFlight: -1},
			},
			TeamQuotas: map[string]int{"closed": 0, "open": team},
			MaxQueued:  12,
			Order:      NewByDeadline(10 * time.Second), // deadlines from 1000 s to 1010 s are equal
		}
	}
	configs := []Config{config(10, 100), config(100, 10), config(100, 100)}
	for _, test := range []struct {
		name   string
		queued int // jobs admitted before, each with 20 tasks of 1 s; 10 of their tasks run
		job    Job
		reason dispatcher.Reason // empty if the job must be admitted
		retry  time.Duration
	}{
		{"fits", 0, NewJob("check", "open", 20, now.Add(2*time.Second)), "", 0},
		{"no tasks", 0, NewJob("check", "open", 0, now.Add(time.Minute)), dispatcher.ReasonImpossible, 0},
		{"too many tasks", 0, NewJob("check", "open", 21, now.Add(time.Minute)), dispatcher.ReasonImpossible, 0},
		{"too many tasks of any kind", 0, NewJob("other", "open", 131, now.Add(time.Minute)), dispatcher.ReasonImpossible, 0},
		{"kind allows no task in flight", 0, NewJob("off", "open", 1, now.Add(time.Minute)), dispatcher.ReasonImpossible, 0},
		{"team with quota 0", 0, NewJob("check", "closed", 1, now.Add(time.Minute)), dispatcher.ReasonImpossible, 0},
		{"deadline has passed", 0, NewJob("check", "open", 1, now), dispatcher.ReasonDeadline, 0},
		{"declared run time exceeds the deadline", 0, NewJob("check", "open", 20, now.Add(time.Millisecond)), "", 0},
		// The 5 jobs ahead have 90 waiting tasks, which take 9 s at 10 tasks at once.
		{"in time", 5, NewJob("check", "open", 20, now.Add(9*time.Second)), "", 0},
		{"expected wait exceeds the deadline", 5, NewJob("check", "open", 20, now.Add(8500*time.Millisecond)), dispatcher.ReasonOverload, 500 * time.Millisecond},
		{"overtakes larger jobs", 5, NewJob("check", "open", 1, now.Add(8500*time.Millisecond)), "", 0},
		{"queue full", 12, NewJob("check", "open", 1, now.Add(time.Hour)), dispatcher.ReasonOverload, minRetryAfter},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for _, config := range configs {
				limiter := New(config)
				for range test.queued {
					_, refused := limiter.Admit(NewJob("check", "open", 20, now.Add(5*time.Second)), now).(Refused)
					is.True(!refused)
				}
				for ok := true; ok; {
					running := limiter.TasksInFlight()
					_, ok = limiter.Next(now, func(string) bool { return running < 10 })
				}
				refused, _ := limiter.Admit(test.job, now).(Refused)
				is.Equal(refused.Reason(), test.reason)
				is.Equal(refused.RetryAt().IsZero(), test.retry == 0)
				is.True(test.retry == 0 || refused.RetryAt().Equal(now.Add(test.retry)))
			}
		})
	}
}

// Guards against retries that multiply the load during a failure.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	limiter, now := New(Config{}), time.Unix(1000, 0)
	starts, retries := 0, 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		limiter.Admit(NewJob("check", "open", 20, now.Add(time.Minute)), now)
		for ok := true; ok; starts++ {
			_, ok = limiter.Next(now, func(string) bool { return true })
		}
		for limiter.AllowRetry(now) {
			retries++
		}
	}
	allowed := 0.1*float64(starts) + 10*10
	is.True(float64(retries) <= allowed+1)
	is.True(float64(retries) > 0.9*allowed)
	for range 10 {
		now = now.Add(time.Hour)
		retries = 0
		for limiter.AllowRetry(now) {
			retries++
		}
		is.True(retries <= maxRetryTokens) // an idle hour accumulates no more tokens
	}
}

// Guards against a change of weights or limits that does not take effect on queued jobs.
func TestConfigure(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	limiter := New(Config{WastedMessageWeight: 1})
	large, _ := limiter.Admit(NewJob("check", "open", 100, now.Add(3*time.Second)), now).(Runnable)
	small, _ := limiter.Admit(NewJob("check", "open", 2, now.Add(9*time.Second)), now).(Queued)
	pick := func(string) bool { return true }
	grant, _ := limiter.Next(now, pick)
	is.Equal(grant.Ticket(), large.Ticket()) // with a step of 2 s the deadlines differ
	limiter.Configure(Config{ResponseTimeWeight: 1})
	grant, _ = limiter.Next(now, pick)
	is.Equal(grant.Ticket(), small.Ticket()) // with a step of 10 s the smaller job comes first
	limiter.Configure(Config{TeamQuotas: map[string]int{"open": 3}})
	_, third := limiter.Next(now, pick)
	_, fourth := limiter.Next(now, pick)
	is.True(third)
	is.True(!fourth) // tasks already in flight count against the new quota
}

// BenchmarkQueue measures Admit, Next and Release of one task while the given number of jobs wait.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) { benchmarkQueue(b, waiting) })
	}
}

func benchmarkQueue(b *testing.B, waiting int) {
	limiter, now := New(Config{MaxQueued: 5000}), time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	admit := func() {
		limiter.Admit(NewJob("check", "open", 1, now.Add(time.Hour+time.Duration(random.IntN(1e9)))), now)
	}
	for range waiting {
		admit()
	}
	b.ReportAllocs()
	for b.Loop() {
		admit()
		grant, _ := limiter.Next(now, func(string) bool { return true })
		limiter.Release(grant, now)
	}
}
