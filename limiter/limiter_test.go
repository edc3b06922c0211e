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

// testRunTime is the run time of every task of the random sequences, so that learned means stay as declared.
const testRunTime = 100 * time.Millisecond

// model is what a plain reference knows of one admitted job.
type model struct {
	ticket   Ticket
	job      Job
	granted  int
	inFlight int
	over     bool // cancelled, dropped or expired: nothing more may be granted
}

func (model *model) remaining() int { return model.job.tasks - model.granted }

// sequence drives a limiter and a reference, which sorts all jobs at every step, with the same random events.
type sequence struct {
	*testing.T
	random  *rand.Rand
	limiter *Limiter
	config  Config
	now     time.Time
	jobs    []*model
	open    []Grant
	refused int
	ended   int
}

func (sequence *sequence) counts(job Job) (kind, team int) {
	for _, model := range sequence.jobs {
		if model.job.kind == job.kind {
			kind += model.inFlight
		}
		if model.job.team == job.team {
			team += model.inFlight
		}
	}
	return kind, team
}

// due returns the job whose task must be granted next, or nil.
func (sequence *sequence) due(full string) *model {
	jobs := slices.Clone(sequence.jobs)
	slices.SortFunc(jobs, func(a, b *model) int {
		aStep, bStep := a.job.deadline.Truncate(time.Second), b.job.deadline.Truncate(time.Second)
		return cmp.Or(aStep.Compare(bStep), cmp.Compare(a.remaining(), b.remaining()), cmp.Compare(a.ticket, b.ticket))
	})
	for _, model := range jobs {
		kind, team := sequence.counts(model.job)
		if !model.over && model.remaining() > 0 && model.job.deadline.After(sequence.now) && model.job.kind != full &&
			kind < sequence.config.Kinds[model.job.kind].MaxInFlight && team < sequence.config.TeamQuotas[model.job.team] {
			return model
		}
	}
	return nil
}

func (sequence *sequence) find(ticket Ticket) *model {
	return sequence.jobs[slices.IndexFunc(sequence.jobs, func(model *model) bool { return model.ticket == ticket })]
}

func (sequence *sequence) admit() {
	job := NewJob(fmt.Sprint("kind-", sequence.random.IntN(3)), fmt.Sprint("team-", sequence.random.IntN(3)),
		sequence.random.IntN(14), sequence.now.Add(time.Duration(sequence.random.IntN(8000)-200)*time.Millisecond))
	impossible := job.tasks == 0 || job.tasks > sequence.config.Kinds[job.kind].MaxTasks || !job.deadline.After(sequence.now)
	before := len(sequence.limiter.jobs)
	switch verdict := sequence.limiter.Admit(job, sequence.now).(type) {
	case Refused:
		sequence.refused++
		retry := verdict.RetryAt()
		if len(sequence.limiter.jobs) != before || impossible != retry.IsZero() || !impossible && !retry.After(sequence.now) {
			sequence.Fatalf("%+v was refused with %+v", job, verdict)
		}
	case Runnable:
		sequence.jobs = append(sequence.jobs, &model{ticket: verdict.Ticket(), job: job})
		if due := sequence.due(""); impossible || due == nil || due.ticket != verdict.Ticket() {
			sequence.Fatalf("%+v may not run yet", job)
		}
	case Queued:
		sequence.jobs = append(sequence.jobs, &model{ticket: verdict.Ticket(), job: job})
		if impossible || verdict.StartAt().Before(sequence.now) {
			sequence.Fatalf("%+v was queued with %+v", job, verdict)
		}
	}
}

func (sequence *sequence) grant() {
	full := fmt.Sprint("kind-", sequence.random.IntN(6)) // half of the time no kind is full
	due := sequence.due(full)
	grant, ok := sequence.limiter.Next(sequence.now, func(kind string) bool { return kind != full })
	switch {
	case ok != (due != nil):
		sequence.Fatalf("granted: %v, want %v", ok, due != nil)
	case !ok:
		return
	case grant.Ticket() != due.ticket || grant.First() != (due.granted == 0):
		sequence.Fatalf("granted %+v, want %+v", grant, due)
	}
	due.granted++
	due.inFlight++
	sequence.open = append(sequence.open, grant)
}

func (sequence *sequence) release() {
	if len(sequence.open) == 0 {
		return
	}
	i := sequence.random.IntN(len(sequence.open))
	grant := sequence.open[i]
	sequence.open = slices.Delete(sequence.open, i, i+1)
	sequence.find(grant.Ticket()).inFlight--
	grant.at = sequence.now.Add(-testRunTime)
	sequence.limiter.Release(grant, sequence.now)
}

func (sequence *sequence) end() {
	if len(sequence.jobs) == 0 {
		return
	}
	model := sequence.jobs[sequence.random.IntN(len(sequence.jobs))]
	live := !model.over && (model.remaining() > 0 || model.inFlight > 0)
	if sequence.random.IntN(2) == 0 {
		if got := sequence.limiter.Cancel(model.ticket); got != (live && model.granted == 0) {
			sequence.Fatalf("cancelled %+v: %v", model, got)
		} else if got {
			model.over = true
		}
		return
	}
	want := model.remaining()
	if model.over {
		want = 0
	}
	if got := sequence.limiter.Drop(model.ticket); got != want {
		sequence.Fatalf("dropped %d tasks of %+v, want %d", got, model, want)
	}
	model.over = model.over || want > 0
}

func (sequence *sequence) expire() {
	for _, expired := range sequence.limiter.Expire(sequence.now) {
		model := sequence.find(expired.Ticket())
		if model.over || model.remaining() == 0 || model.job.deadline.After(sequence.now) || model.granted != expired.Granted() {
			sequence.Fatalf("expired %+v of %+v", expired, model)
		}
		model.over = true
	}
	for _, model := range sequence.jobs {
		if !model.over && model.remaining() > 0 && !model.job.deadline.After(sequence.now) {
			sequence.Fatalf("%+v did not expire", model)
		}
	}
}

// check compares what the limiter holds with the reference, and forgets jobs that are over.
func (sequence *sequence) check() {
	waiting, known := 0, 0
	for _, model := range sequence.jobs {
		if !model.over && model.remaining() > 0 {
			waiting++
		}
		if !model.over && model.remaining() > 0 || model.inFlight > 0 {
			known++
		}
	}
	if sequence.limiter.Waiting() != waiting || len(sequence.limiter.jobs) != known || sequence.limiter.InFlight() != len(sequence.open) {
		sequence.Fatalf("waiting %d, want %d; known %d, want %d", sequence.limiter.Waiting(), waiting, len(sequence.limiter.jobs), known)
	}
	before := len(sequence.jobs)
	sequence.jobs = slices.DeleteFunc(sequence.jobs, func(model *model) bool {
		return model.inFlight == 0 && (model.over || model.remaining() == 0)
	})
	sequence.ended += before - len(sequence.jobs)
}

// Guards against quotas and limits that are exceeded, a wrong order, lost or forgotten jobs, and refusals or
// cancellations of jobs that have started.
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
				sequence.end()
			default:
				sequence.expire()
			}
			sequence.check()
		}
		if sequence.refused < 50 || sequence.ended < 100 {
			t.Fatalf("seed %d: %d refusals and %d ended jobs do not test the rules", seed, sequence.refused, sequence.ended)
		}
	}
}

// Guards against accepting jobs that can never run or that the queue makes late, and against refusals without a
// time at which a retry helps.
func TestRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	// Ten tasks run at once, because of the kind, the team or the targets.
	config := func(kind, team int) Config {
		return Config{
			Kinds: map[string]KindLimits{
				"check": {MaxTasks: 20, MaxInFlight: kind, RunTime: time.Second},
				"off":   {MaxInFlight: -1},
			},
			TeamQuotas: map[string]int{"closed": 0, "open": team},
			MaxQueued:  12,
			Order:      NewByDeadline(10 * time.Second), // 1000 s to 1010 s is one step
		}
	}
	configs := []Config{config(10, 100), config(100, 10), config(100, 100)}
	for _, test := range []struct {
		name   string
		queued int // jobs of 20 tasks of a second each that were admitted before; 10 tasks run
		job    Job
		reason dispatcher.Reason // empty if the job is admitted
		retry  time.Duration
	}{
		{"fits", 0, NewJob("check", "open", 20, now.Add(2*time.Second)), "", 0},
		{"no tasks", 0, NewJob("check", "open", 0, now.Add(time.Minute)), dispatcher.ReasonImpossible, 0},
		{"too many tasks", 0, NewJob("check", "open", 21, now.Add(time.Minute)), dispatcher.ReasonImpossible, 0},
		{"too many tasks of any kind", 0, NewJob("other", "open", 131, now.Add(time.Minute)), dispatcher.ReasonImpossible, 0},
		{"kind without room", 0, NewJob("off", "open", 1, now.Add(time.Minute)), dispatcher.ReasonImpossible, 0},
		{"team without quota", 0, NewJob("check", "closed", 1, now.Add(time.Minute)), dispatcher.ReasonImpossible, 0},
		{"late", 0, NewJob("check", "open", 1, now), dispatcher.ReasonDeadline, 0},
		{"declared run time passes the deadline", 0, NewJob("check", "open", 20, now.Add(time.Millisecond)), "", 0},
		// 5 jobs hold 90 tasks, which 10 at once finish in 9 s.
		{"in time", 5, NewJob("check", "open", 20, now.Add(9*time.Second)), "", 0},
		{"wait passes the deadline", 5, NewJob("check", "open", 20, now.Add(8500*time.Millisecond)), dispatcher.ReasonOverload, 500 * time.Millisecond},
		{"passes larger jobs", 5, NewJob("check", "open", 1, now.Add(8500*time.Millisecond)), "", 0},
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
					running := limiter.InFlight()
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

// Guards against retries that multiply the load of a fault.
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
		is.True(retries <= retryBurst) // an idle hour saves up no storm
	}
}

// Guards against a bundle that changes weights or limits and leaves the queue as it was.
func TestConfigure(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	limiter := New(Config{WastedMessageWeight: 1})
	large, _ := limiter.Admit(NewJob("check", "open", 100, now.Add(3*time.Second)), now).(Runnable)
	small, _ := limiter.Admit(NewJob("check", "open", 2, now.Add(9*time.Second)), now).(Queued)
	pick := func(string) bool { return true }
	grant, _ := limiter.Next(now, pick)
	is.Equal(grant.Ticket(), large.Ticket()) // a step of 2 s keeps the deadlines apart
	limiter.Configure(Config{ResponseTimeWeight: 1})
	grant, _ = limiter.Next(now, pick)
	is.Equal(grant.Ticket(), small.Ticket()) // a step of 10 s lets the small job pass
	limiter.Configure(Config{TeamQuotas: map[string]int{"open": 3}})
	_, third := limiter.Next(now, pick)
	_, fourth := limiter.Next(now, pick)
	is.True(third)
	is.True(!fourth) // the new quota holds for the tasks in flight
}

// BenchmarkQueue measures one Admit with its Next and Release when that many jobs wait.
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
