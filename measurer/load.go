package measurer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// warmUp is the time in which speeds are learned and jobs aren't counted.
	warmUp = 10 * time.Second
	// faultFrom and faultUntil bound the faults; runLength ends the submissions.
	faultFrom  = 20 * time.Second
	faultUntil = 50 * time.Second
	runLength  = 60 * time.Second
	// connectTimeout is how long the load balancer waits for an instance that is cut off.
	connectTimeout = time.Second
)

// Load is a pattern of submissions with the faults that accompany it.
type Load struct {
	name        string
	utilization float64
	burst       float64       // factor of submissions from faultFrom on
	burstLength time.Duration // length of the burst
	cut         bool          // the first failure domain is cut off
	slowed      float64       // part of the runners that slow down by slowFactor
	broken      int           // runners that get fault
	fault       fault
	restarts    bool    // one runner leaves every second and returns ten seconds later
	cancelled   float64 // part of the jobs of the first five seconds of the fault that is cancelled
	wrong       float64 // factor up to which declared run times are wrong
}

// slowFactor is how much slower a slowed runner gets.
const slowFactor = 5

// Name returns the name of the load.
func (load Load) Name() string { return load.name }

// Loads returns the measured loads.
func Loads() []Load {
	return []Load{
		{name: "steady-60", utilization: 0.6},
		{name: "steady-90", utilization: 0.9},
		{name: "burst", utilization: 0.6, burst: 3, burstLength: 10 * time.Second},
		{name: "domain-cut", utilization: 0.6, cut: true},
		{name: "slow-fifth", utilization: 0.6, slowed: 0.2},
		{name: "two-failing", utilization: 0.6, broken: 2, fault: failing},
		{name: "two-frozen", utilization: 0.6, broken: 2, fault: frozen},
		{name: "restarts", utilization: 0.6, restarts: true},
		{name: "cancellations", utilization: 0.9, cancelled: 0.5},
		{name: "wrong-run-times", utilization: 0.9, wrong: 10},
	}
}

// job is one submitted job; tasks holds nominal run times.
type job struct {
	kind     kind
	tasks    []time.Duration
	starts   []int // how often each task started
	at       time.Time
	deadline time.Time
	counted  bool
	cancel   bool
}

// ideal returns the response time on idle targets of the fastest speed with one network trip each way.
func (job *job) ideal() time.Duration {
	var longest time.Duration
	for _, task := range job.tasks {
		longest = max(longest, task)
	}
	return time.Duration(float64(longest)/fastest) + 2*(callerDelay+targetDelay)
}

func drawJob(random *rand.Rand, at time.Time) *job {
	kind := drawKind(random)
	tasks := make([]time.Duration, drawSize(random))
	for i := range tasks {
		tasks[i] = time.Duration(float64(kind.runTime) * (1 - spread + 2*spread*random.Float64()))
	}
	deadline := at.Add(time.Duration(float64(kind.deadline) * (1 + random.Float64())))
	return &job{kind: kind, tasks: tasks, starts: make([]int, len(tasks)), at: at, deadline: deadline, counted: !at.Before(start.Add(warmUp))}
}

// declared returns the run time that the bundle declares for kind.
func (load Load) declared(kind kind, random *rand.Rand) time.Duration {
	if load.wrong == 0 {
		return kind.runTime
	}
	return time.Duration(float64(kind.runTime) * math.Pow(load.wrong, 2*random.Float64()-1))
}

// submit schedules the submissions of the load.
func (cluster *cluster) submit() {
	rate := cluster.load.utilization * cluster.capacity() / meanWork()
	var next func()
	next = func() {
		since := cluster.clock.now.Sub(start)
		if since >= runLength {
			return
		}
		now := rate
		if since >= faultFrom && since < faultFrom+cluster.load.burstLength {
			now *= cluster.load.burst
		}
		job := drawJob(cluster.jobs, cluster.clock.now)
		job.cancel = since >= faultFrom && since < faultFrom+5*time.Second && cluster.jobs.Float64() < cluster.load.cancelled
		cluster.submitted++
		cluster.clock.after(callerDelay, func() { cluster.balance(job) })
		cluster.clock.after(time.Duration(cluster.jobs.ExpFloat64()/now*float64(time.Second)), next)
	}
	cluster.clock.after(0, next)
}

// schedule schedules the faults of the load.
func (cluster *cluster) schedule() {
	clock, load := cluster.clock, cluster.load
	order := cluster.faults.Perm(len(cluster.runners))
	change := func(count int, begin, end func(*runner)) {
		for _, i := range order[:count] {
			clock.after(faultFrom, func() { begin(cluster.runners[i]) })
			clock.after(faultUntil, func() { end(cluster.runners[i]) })
		}
	}
	slowed := int(load.slowed * float64(len(cluster.runners)))
	change(slowed, func(runner *runner) { runner.speed /= slowFactor }, func(runner *runner) { runner.speed *= slowFactor })
	change(load.broken, func(runner *runner) { runner.fault = load.fault }, func(runner *runner) { runner.fault = none })
	if load.cut {
		clock.after(faultFrom, func() { cluster.cut, cluster.cutListed = true, false })
		clock.after(faultFrom+listLag, func() { cluster.cutListed = true })
		clock.after(faultUntil, func() { cluster.cut = false })
	}
	for second := faultFrom; load.restarts && second < faultUntil; second += time.Second {
		cluster.restart(cluster.runners[order[int(second/time.Second)%len(order)]], second)
	}
}

// restart makes runner leave at second; the instance list shows both changes late.
func (cluster *cluster) restart(runner *runner, second time.Duration) {
	const away = 10 * time.Second
	cluster.clock.after(second, func() { runner.fault = leaving })
	cluster.clock.after(second+listLag, func() { runner.listed = true })
	cluster.clock.after(second+away, func() { runner.fault = none })
	cluster.clock.after(second+away+listLag, func() { runner.listed = false })
}
