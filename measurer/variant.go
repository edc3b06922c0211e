package measurer

import (
	"time"

	"github.com/hyssoplift/hyssoplift/limiter"
	"github.com/hyssoplift/hyssoplift/router"
)

// Variant is a routing policy together with the options of the router and the limiter.
type Variant struct {
	name                string
	naive               bool // baseline without a limiter; see handleNaive
	policy              router.Policy
	order               limiter.Order
	disableBorrowing    bool
	disableEjection     bool
	responseTimeWeight  float64 // replaces, with wastedMessageWeight, the weights of the deployment unless both are 0
	wastedMessageWeight float64
}

// Name returns the name of the variant.
func (variant Variant) Name() string { return variant.name }

// config returns the configuration of the router of one instance.
func (variant Variant) config(deployment Deployment, share router.Share, seed uint64) router.Config {
	config := router.Config{
		Seed: seed, Policy: variant.policy, Share: share,
		ResponseTimeWeight: deployment.responseTimeWeight, WastedMessageWeight: deployment.wastedMessageWeight,
		DisableBorrowing: variant.disableBorrowing, DisableEjection: variant.disableEjection,
	}
	if variant.responseTimeWeight+variant.wastedMessageWeight > 0 {
		config.ResponseTimeWeight, config.WastedMessageWeight = variant.responseTimeWeight, variant.wastedMessageWeight
	}
	return config
}

// Group is a set of variants that differ in one aspect and are compared with each other.
type Group struct {
	name     string
	variants []Variant
}

// Name returns the name of the group.
func (group Group) Name() string { return group.name }

// Variants returns the variants that the group compares.
func (group Group) Variants() []Variant { return group.variants }

// Groups returns all groups; "(chosen)" in a name marks the variant that the system uses.
func Groups() []Group {
	leastExpected := router.LeastExpectedCompletion{}
	return []Group{
		{name: "policies", variants: []Variant{
			{name: "naive", naive: true, policy: router.Random{}, disableEjection: true},
			{name: "round robin", policy: router.RoundRobin{}},
			{name: "least in flight", policy: router.LeastInFlight{}},
			{name: "two choices", policy: router.PowerOfTwoChoices{}},
			{name: "least expected (chosen)", policy: leastExpected},
		}},
		{name: "orders", variants: []Variant{
			{name: "arrival", policy: leastExpected, order: limiter.ByArrival{}},
			{name: "deadline", policy: leastExpected, order: limiter.NewByDeadline(0)},
			{name: "deadline by 2 s, remaining", policy: leastExpected, order: limiter.NewByDeadline(2 * time.Second)},
			{name: "deadline by 10 s, remaining", policy: leastExpected, order: limiter.NewByDeadline(10 * time.Second)},
			{name: "deadline by weight, remaining (chosen)", policy: leastExpected},
			{name: "remaining", policy: leastExpected, order: limiter.ByRemainingWork{}},
		}},
		{name: "shares", variants: []Variant{
			{name: "static", policy: leastExpected, disableBorrowing: true},
			{name: "borrowed (chosen)", policy: leastExpected},
		}},
		{name: "ejection", variants: []Variant{
			{name: "off", policy: leastExpected, disableEjection: true},
			{name: "on (chosen)", policy: leastExpected},
		}},
		{name: "weights", variants: []Variant{
			{name: "response time only", policy: leastExpected, responseTimeWeight: 1},
			{name: "3 to 1 (thang-long)", policy: leastExpected, responseTimeWeight: 3, wastedMessageWeight: 1},
			{name: "1 to 3 (chakra)", policy: leastExpected, responseTimeWeight: 1, wastedMessageWeight: 3},
			{name: "wasted messages only", policy: leastExpected, wastedMessageWeight: 1},
		}},
	}
}

// Measure simulates variant with each of the seeds and returns the results over all runs.
func Measure(deployment Deployment, load Load, variant Variant, seeds []uint64) Results {
	var sums counts
	for _, seed := range seeds {
		sums.add(newCluster(deployment, load, variant, seed).run())
	}
	return sums.results()
}
