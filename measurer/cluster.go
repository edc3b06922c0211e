package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssoplift/hyssoplift/router"
)

// snapshotPeriod is how often an instance reads the instance list.
const snapshotPeriod = time.Second

// cluster is one deployment under one load with one variant of the policy.
type cluster struct {
	clock     *clock
	load      Load
	variant   Variant
	domains   []*domain
	runners   []*runner
	jobs      *rand.Rand
	faults    *rand.Rand
	cut       bool // the first failure domain cannot be reached by callers
	cutListed bool // the load balancer knows of the cut
	submitted int
	counts    counts
}

// domain is one failure domain.
type domain struct {
	runners   []*runner
	instances []*instance
	weights   []float64
}

// newCluster returns a cluster whose jobs and faults depend on seed only, so that variants face the same ones.
func newCluster(deployment Deployment, load Load, variant Variant, seed uint64) *cluster {
	cluster := &cluster{
		clock: newClock(), load: load, variant: variant,
		jobs: rand.New(rand.NewPCG(seed, 1)), faults: rand.New(rand.NewPCG(seed, 2)),
	}
	layout := rand.New(rand.NewPCG(seed, 3))
	declared := make(map[string]time.Duration)
	for _, kind := range kinds() {
		declared[kind.name] = load.declared(kind, layout)
	}
	for d, count := range deployment.runners {
		domain := &domain{weights: deployment.weights[d]}
		for i, speed := range speeds(count, layout) {
			domain.runners = append(domain.runners, &runner{clock: cluster.clock, name: fmt.Sprintf("runner-%d-%d", d, i), speed: speed})
		}
		for i := range domain.weights {
			config := variant.config(deployment, router.NewShare(domain.weights, i), seed*1000+uint64(d*10+i))
			domain.instances = append(domain.instances, newInstance(cluster, domain, config, declared))
		}
		cluster.domains = append(cluster.domains, domain)
		cluster.runners = append(cluster.runners, domain.runners...)
	}
	return cluster
}

// run submits the load and returns what was counted once every job is answered.
func (cluster *cluster) run() counts {
	cluster.schedule()
	cluster.submit()
	cluster.clock.run()
	return cluster.counts
}

// capacity returns the nominal run time that all runners get done in a second, in seconds.
func (cluster *cluster) capacity() float64 {
	var capacity float64
	for _, runner := range cluster.runners {
		capacity += runner.speed * runnerSlots
	}
	return capacity
}

// balance hands job to an instance, by the runners of the failure domains and the weights of the instances.
func (cluster *cluster) balance(job *job) {
	domains := cluster.domains
	if cluster.cut && cluster.cutListed {
		domains = domains[1:]
	}
	sizes := make([]float64, len(domains))
	for i, domain := range domains {
		sizes[i] = float64(len(domain.runners))
	}
	domain := domains[draw(cluster.jobs, sizes)]
	if cluster.cut && domain == cluster.domains[0] {
		cluster.clock.after(connectTimeout, func() { cluster.balance(job) })
		return
	}
	domain.instances[draw(cluster.jobs, domain.weights)].take(job)
}

// draw returns an index with a probability in proportion to its weight.
func draw(random *rand.Rand, weights []float64) int {
	var total float64
	for _, weight := range weights {
		total += weight
	}
	at := random.Float64() * total
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// snapshot returns the targets of the failure domain as the instance list shows them.
func (domain *domain) snapshot() []router.Target {
	targets := make([]router.Target, len(domain.runners))
	for i, runner := range domain.runners {
		targets[i] = router.NewTarget(runner.name, runner.name, runnerSlots, runner.listed)
	}
	return targets
}
