package measurer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/router"
)

// Guards against tasks that start twice and untrue refusals under every load, against a policy that is worse
// than the naive version, and against figures that a second run does not reproduce.
func TestChosenPolicy(t *testing.T) {
	is := is.New(t)
	seeds := []uint64{1}
	loads := Loads()
	if testing.Short() {
		loads = loads[:1]
	}
	for _, load := range loads {
		deployment := Deployments()[0]
		figures := Measure(deployment, load, Variant{policy: router.LeastExpected{}}, seeds)
		is.Equal(figures.StartedTwice, 0)
		is.Equal(figures.UntrueRefusals, 0)
		is.True(figures.WastedPart < 0.01)
		naive := Measure(deployment, load, Variant{naive: true, policy: router.Random{}, keepOutliers: true}, seeds)
		is.True(naive.StartedTwice > 0) // the count of broken promises works
		is.True(figures.P99All < naive.P99All/2)
	}
	chosen := Variant{policy: router.LeastExpected{}}
	is.Equal(Measure(Deployments()[0], loads[0], chosen, seeds), Measure(Deployments()[0], loads[0], chosen, seeds))
}

// Guards against jobs that a run forgets: every submitted job is answered, refused or cancelled.
func TestEveryJobIsCounted(t *testing.T) {
	is := is.New(t)
	for _, load := range []string{"burst", "two-frozen", "cancellations"} {
		for _, candidate := range Loads() {
			if candidate.name != load {
				continue
			}
			cluster := newCluster(Deployments()[1], candidate, Variant{policy: router.LeastExpected{}}, 1)
			counts := cluster.run()
			is.Equal(len(counts.answered)+len(counts.notRun), cluster.submitted)
			for _, domain := range cluster.domains {
				for _, instance := range domain.instances {
					is.Equal(instance.limiter.InFlight(), 0)
					is.Equal(instance.limiter.Waiting(), 0)
					is.Equal(instance.router.InFlight(), 0)
				}
			}
		}
	}
}
