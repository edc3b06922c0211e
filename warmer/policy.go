package warmer

import "time"

// Policy is what is known of the cold targets of a service.
type Policy struct {
	// Period is how long a target is cold after the evacuation of its failure domain; 0 if it is not.
	Period time.Duration
	// StartsPerSecond is the rate of starts that suits a cold target; 0 if unknown, which sets no limit to it.
	StartsPerSecond float64
	// Overage is by how much the rate may be exceeded; 0 if unknown, which counts as 1.
	Overage float64
	// Slack is how many starts are allowed beyond the rate since the beginning of a period.
	Slack float64
}

// startRate returns how many starts per second are allowed in the long run; 0 means no limit.
func (policy *Policy) startRate() float64 {
	overage := policy.Overage
	if overage <= 0 {
		overage = 1
	}
	return max(policy.StartsPerSecond, 0) * overage
}
