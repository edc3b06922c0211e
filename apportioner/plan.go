package apportioner

// Plan is the decision for the live instances that one instance knows. The zero value lets every instance start runs
// on all targets without limits. A plan does not change, so it may be used concurrently.
type Plan struct {
	rule   Rule
	limits Limits
	// budgets holds, for each starting instance, its connections to each target that it does not read.
	budgets map[string]int
	// starting holds the starting instances in a fixed order, if connections are limited.
	starting []candidate
	share    float64
	// restricted means that only users of the starting instances use each target, besides its reader.
	restricted bool
	users      int
}

// New returns the plan for the members. Their order does not matter.
func New(members []Member, limits Limits) Plan {
	limits.Connections = min(limits.Connections, maxLimit)
	candidates, total := candidates(members)
	starting, rule := choose(candidates, total, limits)
	plan := Plan{rule: rule, limits: limits, budgets: make(map[string]int, len(starting))}
	held := int64(0)
	for i := range starting {
		held += starting[i].units
		plan.budgets[starting[i].Name] = 0
	}
	if total > 0 {
		plan.share = float64(held) / float64(total)
	}
	if plan.limitsConnections() {
		plan.starting = starting
		plan.divideConnections()
	}
	return plan
}

// Rule returns the rule that chose the starting instances.
func (plan *Plan) Rule() Rule { return plan.rule }

// Starts reports whether an instance starts runs; others delegate their jobs.
func (plan *Plan) Starts(name string) bool {
	_, ok := plan.budgets[name]
	return ok || plan.rule == 0
}

// Starting returns the number of instances that start runs.
func (plan *Plan) Starting() int { return len(plan.budgets) }

// Share returns the share of all weight that the starting instances hold.
func (plan *Plan) Share() float64 { return plan.share }
