package measurer

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// slowest and fastest are the speeds of runners relative to nominal, a factor of 4 apart.
	slowest = 0.5
	fastest = 2.0
	// callerDelay and targetDelay are one-way delays; the latter is within a failure domain.
	callerDelay = 3 * time.Millisecond
	targetDelay = 250 * time.Microsecond
	// listLag is how late the instance list shows a change.
	listLag = 5 * time.Second
)

// Deployment is the layout and the weights of one user.
type Deployment struct {
	name         string
	weights      [][]float64 // of the instances, by failure domain
	runners      []int       // by failure domain
	responseTime float64
	wasted       float64
}

// Name returns the name of the deployment.
func (deployment Deployment) Name() string { return deployment.name }

// Deployments returns the deployments of the design.
func Deployments() []Deployment {
	return []Deployment{
		{
			name:         "thang-long",
			weights:      [][]float64{{2, 1, 1}, {2, 1}, {1, 1}},
			runners:      []int{17, 17, 16},
			responseTime: 3, wasted: 1,
		},
		{
			name:         "chakra",
			weights:      [][]float64{{2, 1, 1}, {2, 1}, {1, 1}, {3, 2}},
			runners:      []int{13, 13, 12, 12},
			responseTime: 1, wasted: 3,
		},
	}
}

// speeds returns the speeds of count runners: spread evenly on a logarithmic scale, in random order.
//
// An even spread gives all failure domains nearly the same capacity per runner,
// since the load balancer knows numbers of runners but not speeds.
func speeds(count int, random *rand.Rand) []float64 {
	speeds := make([]float64, count)
	for i := range speeds {
		speeds[i] = slowest * math.Pow(fastest/slowest, float64(i)/float64(count-1))
	}
	random.Shuffle(count, func(i, j int) { speeds[i], speeds[j] = speeds[j], speeds[i] })
	return speeds
}

// kind is one kind of task in the measured mix.
type kind struct {
	name     string
	part     float64 // of the jobs
	runTime  time.Duration
	deadline time.Duration
}

// spread is the range of a task's run time around that of its kind.
const spread = 0.3

func kinds() []kind {
	return []kind{
		{name: "check", part: 0.45, runTime: 70 * time.Millisecond, deadline: 5 * time.Second},
		{name: "plan", part: 0.30, runTime: 200 * time.Millisecond, deadline: 10 * time.Second},
		{name: "quote", part: 0.23, runTime: 700 * time.Millisecond, deadline: 10 * time.Second},
		{name: "survey", part: 0.02, runTime: 3 * time.Second, deadline: 30 * time.Second},
	}
}

func drawKind(random *rand.Rand) kind {
	draw := random.Float64()
	for _, kind := range kinds() {
		if draw -= kind.part; draw < 0 {
			return kind
		}
	}
	return kinds()[0]
}

// maxSize is the largest number of tasks in a job.
const maxSize = 130

// drawSize returns a job size; sizes are spread evenly on a logarithmic scale.
func drawSize(random *rand.Rand) int {
	return min(maxSize, int(math.Exp(random.Float64()*math.Log(maxSize+1))))
}

// meanWork returns the mean nominal run time of a whole job, in seconds.
func meanWork() float64 {
	var mean float64
	for _, kind := range kinds() {
		mean += kind.part * kind.runTime.Seconds()
	}
	return mean * maxSize / math.Log(maxSize+1)
}
