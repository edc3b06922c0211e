package apportioner

// Rule is the number of the rule that chose the starting instances; 0 means that none was applied yet.
type Rule int

// The rules. The first one that holds decides.
const (
	// RuleLargest chooses the instances of almost the largest weight.
	RuleLargest Rule = 1
	// RuleLarger chooses the instances that are not much smaller than the largest one.
	RuleLarger Rule = 2
	// RuleAll chooses all instances.
	RuleAll Rule = 3
	// RulePrefix chooses the first instances of a fixed order. It is the only rule that limits connections.
	RulePrefix Rule = 4
)

const (
	// minStarting and maxStarting bound the starting instances that RulePrefix chooses. With more, the share of each one
	// of the exchanged reports exceeds one frame in 2.4 ms at a broadcast every 120 ms.
	minStarting = 12
	maxStarting = 48
	// minShare is the share of all weight that the starting instances of RulePrefix hold, unless they are maxStarting.
	minShare = 0.5
	// similarRatio is the smallest ratio of two weights at which RuleAll applies.
	similarRatio = 0.4
	// minConnections is the number of connections to each target that an instance needs: one for a poll, which the target
	// holds back, and one for a start or stop request.
	minConnections = 2
)

// thresholdRules are the rules that choose all instances of at least ratio times the largest weight, since callers choose
// instances regardless of size. They hold if minCount instances are chosen, or all instances together are fewer than
// smallCount, and if the chosen ones hold at least minShare of the total weight.
//
// The first rule bounds the instances that exchange reports and share the connections of each target in deployments of
// hundreds of instances, where these exchanges took most of the processor time. The ratio of the second one lies between
// the relative instance sizes of the medium deployments, 0.18 and 0.6; instances of 0.18 were overloaded when they ran
// their own jobs.
var thresholdRules = []struct {
	rule       Rule
	ratio      float64
	minCount   int
	smallCount int
	minShare   float64
}{
	{rule: RuleLargest, ratio: 0.7, minCount: 12, minShare: 0.25},
	{rule: RuleLarger, ratio: 0.4, minCount: 12, smallCount: 12, minShare: 0.5},
}

// choose returns the candidates that start runs, and the rule that chose them. It may reorder the candidates.
func choose(candidates []candidate, total int64, limits Limits) ([]candidate, Rule) {
	smallest, largest := extremes(candidates)
	for _, rule := range thresholdRules {
		threshold := rule.ratio * float64(largest)
		count, held := 0, int64(0)
		for i := range candidates {
			if float64(candidates[i].units) >= threshold {
				count++
				held += candidates[i].units
			}
		}
		// If no instance would delegate, RuleAll decides.
		if count < len(candidates) && limits.allow(count) && (count >= rule.minCount || len(candidates) < rule.smallCount) && float64(held) >= rule.minShare*float64(total) {
			return atLeast(candidates, threshold, count), rule.rule
		}
	}
	if float64(smallest) >= similarRatio*float64(largest) && limits.allow(len(candidates)) {
		return candidates, RuleAll
	}
	arrange(candidates)
	return candidates[:prefixLength(candidates, total)], RulePrefix
}

// allow reports whether a target accepts the connections that so many instances need without limits.
func (limits Limits) allow(instances int) bool {
	return limits.Connections <= 0 || minConnections*instances <= limits.Connections
}

// extremes returns the smallest and the largest weight in units.
func extremes(candidates []candidate) (smallest, largest int64) {
	for i := range candidates {
		if units := candidates[i].units; i == 0 {
			smallest, largest = units, units
		} else {
			smallest, largest = min(smallest, units), max(largest, units)
		}
	}
	return smallest, largest
}

// atLeast returns the candidates of at least the given weight in units, of which there are count.
func atLeast(candidates []candidate, threshold float64, count int) []candidate {
	chosen := make([]candidate, 0, count)
	for i := range candidates {
		if float64(candidates[i].units) >= threshold {
			chosen = append(chosen, candidates[i])
		}
	}
	return chosen
}

// prefixLength returns how many of the arranged candidates start runs under RulePrefix.
func prefixLength(arranged []candidate, total int64) int {
	held := int64(0)
	for i := range arranged {
		if i == maxStarting || i >= minStarting && float64(held) >= minShare*float64(total) {
			return i
		}
		held += arranged[i].units
	}
	return len(arranged)
}
