package gossiper

const (
	// delegationShare: instances below this share of the largest weight pass their jobs on, since callers come without regard
	// to size. It lies between the sizes of the grown deployments, 0.18 and 0.6 of the largest: those of 0.18 were full.
	delegationShare = 0.4
	// ownShare is the part of all weight that the others must hold for any instance to pass its jobs on, so that a few
	// large instances do not get the jobs of many.
	ownShare = 0.5
)

// delegationBound returns the weight below which instances pass their jobs on, 0 if none is to.
func delegationBound(weights []float64) float64 {
	largest, total := 0.0, 0.0
	for _, weight := range weights {
		largest = max(largest, weight)
		total += weight
	}
	bound := delegationShare * largest
	held := 0.0
	for _, weight := range weights {
		if weight >= bound {
			held += weight
		}
	}
	if held < ownShare*total {
		return 0
	}
	return bound
}

// share decides anew which instances pass their jobs on, after the instances that stay have changed; the caller holds
// the lock.
func (gossiper *Gossiper) share() {
	gossiper.version++
	weights := []float64{gossiper.self.EffectiveWeight()}
	for _, peer := range gossiper.peers {
		if !peer.gone && !peer.leaving {
			weights = append(weights, peer.hello.EffectiveWeight())
		}
	}
	bound := delegationBound(weights)
	gossiper.delegates = gossiper.self.EffectiveWeight() < bound
	for _, peer := range gossiper.peers {
		peer.delegates = peer.hello.EffectiveWeight() < bound
	}
}

// Delegating reports whether this instance passes its jobs on to larger ones.
func (gossiper *Gossiper) Delegating() bool {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.delegates
}
