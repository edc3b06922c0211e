package measurer

import (
	"time"

	"github.com/hyssoplift/hyssoplift/limiter"
	"github.com/hyssoplift/hyssoplift/router"
)

// Variant is one policy with the rules around it.
type Variant struct {
	name         string
	naive        bool
	policy       router.Policy
	order        limiter.Order
	keepShare    bool
	keepOutliers bool
	responseTime float64 // with wasted, replaces the weights of the deployment unless both are 0
	wasted       float64
}

// Name returns the name of the variant.
func (variant Variant) Name() string { return variant.name }

// config returns the parameters of the router of one instance.
func (variant Variant) config(deployment Deployment, share router.Share, seed uint64) router.Config {
	config := router.Config{
		Seed: seed, Policy: variant.policy, Share: share,
		ResponseTimeWeight: deployment.responseTime, WastedMessageWeight: deployment.wasted,
		DisableBorrowing: variant.keepShare, DisableEjection: variant.keepOutliers,
	}
	if variant.responseTime+variant.wasted > 0 {
		config.ResponseTimeWeight, config.WastedMessageWeight = variant.responseTime, variant.wasted
	}
	return config
}

// Group is a comparison of variants that differ in one rule.
type Group struct {
	name     string
	variants []Variant
}

// Name returns the name of the group.
func (group Group) Name() string { return group.name }

// Variants returns the variants that the group compares.
func (group Group) Variants() []Variant { return group.variants }

// Groups returns all comparisons; the names of the variants mark the rules in use.
func Groups() []Group {
	least := router.LeastExpectedCompletion{}
	return []Group{
		{name: "policies", variants: []Variant{
			{name: "naive", naive: true, policy: router.Random{}, keepOutliers: true},
			{name: "round robin", policy: router.RoundRobin{}},
			{name: "least in flight", policy: router.LeastInFlight{}},
			{name: "two choices", policy: router.PowerOfTwoChoices{}},
			{name: "least expected (chosen)", policy: least},
		}},
		{name: "orders", variants: []Variant{
			{name: "arrival", policy: least, order: limiter.ByArrival{}},
			{name: "deadline", policy: least, order: limiter.NewByDeadline(0)},
			{name: "deadline by 2 s, remaining", policy: least, order: limiter.NewByDeadline(2 * time.Second)},
			{name: "deadline by 10 s, remaining", policy: least, order: limiter.NewByDeadline(10 * time.Second)},
			{name: "deadline by weight, remaining (chosen)", policy: least},
			{name: "remaining", policy: least, order: limiter.ByRemainingWork{}},
		}},
		{name: "shares", variants: []Variant{
			{name: "static", policy: least, keepShare: true},
			{name: "borrowed (chosen)", policy: least},
		}},
		{name: "ejection", variants: []Variant{
			{name: "off", policy: least, keepOutliers: true},
			{name: "on (chosen)", policy: least},
		}},
		{name: "weights", variants: []Variant{
			{name: "response time only", policy: least, responseTime: 1},
			{name: "3 to 1 (thang-long)", policy: least, responseTime: 3, wasted: 1},
			{name: "1 to 3 (chakra)", policy: least, responseTime: 1, wasted: 3},
			{name: "wasted messages only", policy: least, wasted: 1},
		}},
	}
}

// Measure runs variant with each of the seeds and returns the figures over all runs.
func Measure(deployment Deployment, load Load, variant Variant, seeds []uint64) Results {
	var sums counts
	for _, seed := range seeds {
		sums.add(newCluster(deployment, load, variant, seed).run())
	}
	return sums.figures()
}
