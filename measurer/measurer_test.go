package measurer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hyssoplift/hyssoplift/router"
)

// Guards against tasks that start twice and jobs that start despite a refusal under any load, against a default policy
// that is worse than the naive variant, and against results that differ between runs with the same seed.
func TestChosenPolicy(t *testing.T) {
	is := is.New(t)
	seeds := []uint64{1}
	loads := Loads()
	if testing.Short() {
		loads = loads[:1]
	}
	for _, load := range loads {
		deployment := Deployments()[0]
		results := Measure(deployment, load, Variant{policy: router.LeastExpectedCompletion{}}, seeds)
		is.Equal(results.StartedTwice, 0)
		is.Equal(results.UntrueRefusals, 0)
		is.True(results.WastedRatio < 0.01)
		naive := Measure(deployment, load, Variant{naive: true, policy: router.Random{}, disableEjection: true}, seeds)
		is.True(naive.StartedTwice > 0) // repeated starts are counted
		is.True(results.P99WithFailed < naive.P99WithFailed/2)
	}
	chosen := Variant{policy: router.LeastExpectedCompletion{}}
	is.Equal(Measure(Deployments()[0], loads[0], chosen, seeds), Measure(Deployments()[0], loads[0], chosen, seeds))
}

// Guards against jobs that are lost in a run: every submitted job must be answered, refused or cancelled.
func TestEveryJobIsCounted(t *testing.T) {
	is := is.New(t)
	for _, load := range []string{"burst", "two-frozen", "cancellations"} {
		for _, candidate := range Loads() {
			if candidate.name != load {
				continue
			}
			cluster := newCluster(Deployments()[1], candidate, Variant{policy: router.LeastExpectedCompletion{}}, 1)
			counts := cluster.run()
			is.Equal(len(counts.answered)+len(counts.notRun), cluster.submitted)
			for _, domain := range cluster.domains {
				for _, instance := range domain.instances {
					is.Equal(instance.limiter.TasksInFlight(), 0)
					is.Equal(instance.limiter.WaitingJobs(), 0)
					is.Equal(instance.router.TasksInFlight(), 0)
				}
			}
		}
	}
}
