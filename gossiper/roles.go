package gossiper

const (
	// delegationRatio: instances whose weight is below this share of the largest weight delegate their jobs, since
	// callers choose instances regardless of size. It lies between the relative instance sizes of the larger
	// deployments, 0.18 and 0.6; instances of 0.18 were overloaded when they ran their own jobs.
	delegationRatio = 0.4
	// minRemainingShare is the minimum share of the total weight that must remain with the other instances for any to
	// delegate, so that a few large instances do not get the jobs of many small ones.
	minRemainingShare = 0.5
)

// delegationThreshold returns the weight below which instances delegate their jobs, or 0 if none should.
func delegationThreshold(weights []float64) float64 {
	largest, total := 0.0, 0.0
	for _, weight := range weights {
		largest = max(largest, weight)
		total += weight
	}
	threshold := delegationRatio * largest
	remaining := 0.0
	for _, weight := range weights {
		if weight >= threshold {
			remaining += weight
		}
	}
	if remaining < minRemainingShare*total {
		return 0
	}
	return threshold
}

// updateRoles determines which instances delegate their jobs, after a change of the live instances; the caller holds
// the lock.
func (gossiper *Gossiper) updateRoles() {
	gossiper.peersVersion++
	weights := []float64{gossiper.self.EffectiveWeight()}
	for _, peer := range gossiper.peers {
		if !peer.lost && !peer.leaving {
			weights = append(weights, peer.hello.EffectiveWeight())
		}
	}
	threshold := delegationThreshold(weights)
	gossiper.delegating = gossiper.self.EffectiveWeight() < threshold
	for _, peer := range gossiper.peers {
		peer.delegating = peer.hello.EffectiveWeight() < threshold
	}
}

// Delegating reports whether this instance delegates its jobs to larger ones.
func (gossiper *Gossiper) Delegating() bool {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.delegating
}
