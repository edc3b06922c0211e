package measurer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// slowestSpeed and fastestSpeed bound the speeds of runners relative to the nominal speed, a factor of 4 apart.
	slowestSpeed = 0.5
	fastestSpeed = 2.0
	// callerDelay and targetDelay are one-way network delays between callers and instances, and between instances and
	// targets of the same failure domain.
	callerDelay = 3 * time.Millisecond
	targetDelay = 250 * time.Microsecond
	// listLag is the time until the instance list shows a change.
	listLag = 5 * time.Second
)

// Deployment holds the instances, runners and policy weights of one deployment.
type Deployment struct {
	name                string
	weights             [][]float64 // of the instances, by failure domain
	runners             []int       // by failure domain
	responseTimeWeight  float64
	wastedMessageWeight float64
}

// Name returns the name of the deployment.
func (deployment Deployment) Name() string { return deployment.name }

// Deployments returns the deployments that are measured.
func Deployments() []Deployment {
	return []Deployment{
		{
			name:               "thang-long",
			weights:            [][]float64{{2, 1, 1}, {2, 1}, {1, 1}},
			runners:            []int{17, 17, 16},
			responseTimeWeight: 3, wastedMessageWeight: 1,
		},
		{
			name:               "chakra",
			weights:            [][]float64{{2, 1, 1}, {2, 1}, {1, 1}, {3, 2}},
			runners:            []int{13, 13, 12, 12},
			responseTimeWeight: 1, wastedMessageWeight: 3,
		},
	}
}

// speeds returns the speeds of count runners, spread evenly on a logarithmic scale and in random order.
//
// The even spread gives all failure domains nearly the same capacity per
// runner, because the load balancer uses the numbers of runners, but not their
// speeds.
func speeds(count int, random *rand.Rand) []float64 {
	speeds := make([]float64, count)
	for i := range speeds {
		speeds[i] = slowestSpeed * math.Pow(fastestSpeed/slowestSpeed, float64(i)/float64(count-1))
	}
	random.Shuffle(count, func(i, j int) { speeds[i], speeds[j] = speeds[j], speeds[i] })
	return speeds
}

// kind is one kind of task in the simulated load.
type kind struct {
	name     string
	fraction float64 // of the jobs
	runTime  time.Duration
	deadline time.Duration // shortest time from submission to deadline; the longest is twice that
}

// runTimeSpread is the largest deviation of a task's nominal run time from that of its kind, as a fraction.
const runTimeSpread = 0.3

// kinds returns the mix of kinds in all loads.
func kinds() []kind {
	return []kind{
		{name: "check", fraction: 0.45, runTime: 70 * time.Millisecond, deadline: 5 * time.Second},
		{name: "plan", fraction: 0.30, runTime: 200 * time.Millisecond, deadline: 10 * time.Second},
		{name: "quote", fraction: 0.23, runTime: 700 * time.Millisecond, deadline: 10 * time.Second},
		{name: "survey", fraction: 0.02, runTime: 3 * time.Second, deadline: 30 * time.Second},
	}
}

// drawKind returns a random kind according to the fractions of jobs.
func drawKind(random *rand.Rand) kind {
	draw := random.Float64()
	for _, kind := range kinds() {
		if draw -= kind.fraction; draw < 0 {
			return kind
		}
	}
	return kinds()[0]
}

// maxJobSize is the largest number of tasks in a job.
const maxJobSize = 130

// drawJobSize returns a random number of tasks with a logarithmically uniform distribution.
func drawJobSize(random *rand.Rand) int {
	return min(maxJobSize, int(math.Exp(random.Float64()*math.Log(maxJobSize+1))))
}

// meanJobWork returns the mean nominal run time of all tasks of a job, in seconds.
func meanJobWork() float64 {
	var mean float64
	for _, kind := range kinds() {
		mean += kind.fraction * kind.runTime.Seconds()
	}
	return mean * maxJobSize / math.Log(maxJobSize+1)
}
