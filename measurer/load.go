package measurer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// warmUp is the time at the start of a run in which the routers learn the speeds and jobs are not counted.
	warmUp = 10 * time.Second
	// faultStart and faultEnd bound the faults; submissions end at runLength.
	faultStart = 20 * time.Second
	faultEnd   = 50 * time.Second
	runLength  = 60 * time.Second
	// connectTimeout is the time that the load balancer waits for an instance that it cannot reach.
	connectTimeout = time.Second
)

// Load is a pattern of job submissions and faults.
type Load struct {
	name           string
	utilization    float64
	burstFactor    float64       // relative rate of submissions during the burst, which begins at faultStart
	burstLength    time.Duration // 0 means no burst
	partitioned    bool          // callers cannot reach the first failure domain
	slowFraction   float64       // fraction of the runners that slow down by slowdownFactor
	faultyRunners  int           // number of runners with the fault
	fault          fault
	rollingRestart bool    // one runner leaves every second and returns 10 s later
	cancelFraction float64 // fraction of the jobs submitted in the 5 s from faultStart on that are cancelled
	runTimeError   float64 // largest factor by which declared run times are wrong; 0 means that they are exact
}

// slowdownFactor is the factor by which slow runners slow down.
const slowdownFactor = 5

// Name returns the name of the load.
func (load Load) Name() string { return load.name }

// Loads returns the measured loads.
func Loads() []Load {
	return []Load{
		{name: "steady-60", utilization: 0.6},
		{name: "steady-90", utilization: 0.9},
		{name: "burst", utilization: 0.6, burstFactor: 3, burstLength: 10 * time.Second},
		{name: "domain-cut", utilization: 0.6, partitioned: true},
		{name: "slow-fifth", utilization: 0.6, slowFraction: 0.2},
		{name: "two-failing", utilization: 0.6, faultyRunners: 2, fault: failing},
		{name: "two-frozen", utilization: 0.6, faultyRunners: 2, fault: frozen},
		{name: "restarts", utilization: 0.6, rollingRestart: true},
		{name: "cancellations", utilization: 0.9, cancelFraction: 0.5},
		{name: "wrong-run-times", utilization: 0.9, runTimeError: 10},
	}
}

// job is one submitted job; tasks holds nominal run times.
type job struct {
	kind        kind
	tasks       []time.Duration
	starts      []int // number of starts of each task
	submittedAt time.Time
	deadline    time.Time
	counted     bool // submitted after the warm-up, so that it counts in the results
	willCancel  bool
}

// idealResponseTime returns the response time if all tasks start at once on idle targets of the fastest speed.
func (job *job) idealResponseTime() time.Duration {
	var longest time.Duration
	for _, task := range job.tasks {
		longest = max(longest, task)
	}
	return time.Duration(float64(longest)/fastestSpeed) + 2*(callerDelay+targetDelay)
}

// drawJob returns a random job of the mix of kinds.
func drawJob(random *rand.Rand, submittedAt time.Time) *job {
	kind := drawKind(random)
	tasks := make([]time.Duration, drawJobSize(random))
	for i := range tasks {
		tasks[i] = time.Duration(float64(kind.runTime) * (1 - runTimeSpread + 2*runTimeSpread*random.Float64()))
	}
	deadline := submittedAt.Add(time.Duration(float64(kind.deadline) * (1 + random.Float64())))
	return &job{kind: kind, tasks: tasks, starts: make([]int, len(tasks)), submittedAt: submittedAt, deadline: deadline, counted: !submittedAt.Before(startTime.Add(warmUp))}
}

// declaredRunTime returns the run time that the configuration declares for kind, which may be wrong by runTimeError.
func (load Load) declaredRunTime(kind kind, random *rand.Rand) time.Duration {
	if load.runTimeError == 0 {
		return kind.runTime
	}
	return time.Duration(float64(kind.runTime) * math.Pow(load.runTimeError, 2*random.Float64()-1))
}

// scheduleJobs schedules the job submissions of the load as a Poisson process.
func (cluster *cluster) scheduleJobs() {
	rate := cluster.load.utilization * cluster.capacity() / meanJobWork()
	var next func()
	next = func() {
		elapsed := cluster.clock.now.Sub(startTime)
		if elapsed >= runLength {
			return
		}
		currentRate := rate
		if elapsed >= faultStart && elapsed < faultStart+cluster.load.burstLength {
			currentRate *= cluster.load.burstFactor
		}
		job := drawJob(cluster.jobRandom, cluster.clock.now)
		job.willCancel = elapsed >= faultStart && elapsed < faultStart+5*time.Second && cluster.jobRandom.Float64() < cluster.load.cancelFraction
		cluster.submitted++
		cluster.clock.after(callerDelay, func() { cluster.routeJob(job) })
		cluster.clock.after(time.Duration(cluster.jobRandom.ExpFloat64()/currentRate*float64(time.Second)), next)
	}
	cluster.clock.after(0, next)
}

// scheduleFaults schedules the faults of the load.
func (cluster *cluster) scheduleFaults() {
	clock, load := cluster.clock, cluster.load
	order := cluster.faultRandom.Perm(len(cluster.runners))
	scheduleChange := func(count int, begin, end func(*runner)) {
		for _, i := range order[:count] {
			clock.after(faultStart, func() { begin(cluster.runners[i]) })
			clock.after(faultEnd, func() { end(cluster.runners[i]) })
		}
	}
	slowRunners := int(load.slowFraction * float64(len(cluster.runners)))
	scheduleChange(slowRunners, func(runner *runner) { runner.speed /= slowdownFactor }, func(runner *runner) { runner.speed *= slowdownFactor })
	scheduleChange(load.faultyRunners, func(runner *runner) { runner.fault = load.fault }, func(runner *runner) { runner.fault = noFault })
	if load.partitioned {
		clock.after(faultStart, func() { cluster.partitioned, cluster.partitionDetected = true, false })
		clock.after(faultStart+listLag, func() { cluster.partitionDetected = true })
		clock.after(faultEnd, func() { cluster.partitioned = false })
	}
	for leaveAt := faultStart; load.rollingRestart && leaveAt < faultEnd; leaveAt += time.Second {
		cluster.scheduleRestart(cluster.runners[order[int(leaveAt/time.Second)%len(order)]], leaveAt)
	}
}

// scheduleRestart makes runner leave at leaveAt and return after its downtime. The instance list shows both changes
// after listLag.
func (cluster *cluster) scheduleRestart(runner *runner, leaveAt time.Duration) {
	const downtime = 10 * time.Second
	cluster.clock.after(leaveAt, func() { runner.fault = leaving })
	cluster.clock.after(leaveAt+listLag, func() { runner.listedLeaving = true })
	cluster.clock.after(leaveAt+downtime, func() { runner.fault = noFault })
	cluster.clock.after(leaveAt+downtime+listLag, func() { runner.listedLeaving = false })
}
