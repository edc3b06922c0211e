package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssoplift/hyssoplift/router"
)

// snapshotInterval is how often an instance reads the instance list.
const snapshotInterval = time.Second

// cluster simulates one deployment under one load with one variant of the policy.
type cluster struct {
	clock             *clock
	load              Load
	variant           Variant
	domains           []*domain
	runners           []*runner
	jobRandom         *rand.Rand
	faultRandom       *rand.Rand
	partitioned       bool // callers cannot reach the first failure domain
	partitionDetected bool // the load balancer has detected the partition
	submitted         int
	counts            counts
}

// domain is one failure domain.
type domain struct {
	runners   []*runner
	instances []*instance
	weights   []float64
}

// newCluster returns a cluster whose jobs and faults depend only on load, deployment and seed, so that all variants
// get the same ones.
func newCluster(deployment Deployment, load Load, variant Variant, seed uint64) *cluster {
	cluster := &cluster{
		clock: newClock(), load: load, variant: variant,
		jobRandom: rand.New(rand.NewPCG(seed, 1)), faultRandom: rand.New(rand.NewPCG(seed, 2)),
	}
	layoutRandom := rand.New(rand.NewPCG(seed, 3))
	declaredRunTimes := make(map[string]time.Duration)
	for _, kind := range kinds() {
		declaredRunTimes[kind.name] = load.declaredRunTime(kind, layoutRandom)
	}
	for d, count := range deployment.runners {
		domain := &domain{weights: deployment.weights[d]}
		for i, speed := range speeds(count, layoutRandom) {
			domain.runners = append(domain.runners, &runner{clock: cluster.clock, name: fmt.Sprintf("runner-%d-%d", d, i), speed: speed})
		}
		for i := range domain.weights {
			config := variant.config(deployment, router.NewShare(domain.weights, i), seed*1000+uint64(d*10+i))
			domain.instances = append(domain.instances, newInstance(cluster, domain, config, declaredRunTimes))
		}
		cluster.domains = append(cluster.domains, domain)
		cluster.runners = append(cluster.runners, domain.runners...)
	}
	return cluster
}

// run simulates the load until every job is answered and returns the counts.
func (cluster *cluster) run() counts {
	cluster.scheduleFaults()
	cluster.scheduleJobs()
	cluster.clock.run()
	return cluster.counts
}

// capacity returns the nominal run time, in seconds, that all runners together complete per second.
func (cluster *cluster) capacity() float64 {
	var capacity float64
	for _, runner := range cluster.runners {
		capacity += runner.speed * runnerSlots
	}
	return capacity
}

// routeJob simulates the load balancer: it passes job to an instance, drawn by the numbers of runners of the failure
// domains and the weights of the instances.
func (cluster *cluster) routeJob(job *job) {
	domains := cluster.domains
	if cluster.partitioned && cluster.partitionDetected {
		domains = domains[1:]
	}
	sizes := make([]float64, len(domains))
	for i, domain := range domains {
		sizes[i] = float64(len(domain.runners))
	}
	domain := domains[drawIndex(cluster.jobRandom, sizes)]
	if cluster.partitioned && domain == cluster.domains[0] {
		cluster.clock.after(connectTimeout, func() { cluster.routeJob(job) })
		return
	}
	domain.instances[drawIndex(cluster.jobRandom, domain.weights)].handleJob(job)
}

// drawIndex returns a random index with a probability proportional to its weight.
func drawIndex(random *rand.Rand, weights []float64) int {
	var total float64
	for _, weight := range weights {
		total += weight
	}
	position := random.Float64() * total
	for i, weight := range weights {
		if position -= weight; position < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// snapshot returns the targets of the failure domain according to the instance list.
func (domain *domain) snapshot() []router.Target {
	targets := make([]router.Target, len(domain.runners))
	for i, runner := range domain.runners {
		targets[i] = router.NewTarget(runner.name, runner.name, runnerSlots, runner.listedLeaving)
	}
	return targets
}
