package placer

// Resources is the amount of resources that a task needs or a worker has.
type Resources struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int64 `json:"milli-cores"`
	// MemoryMB is memory in megabytes.
	MemoryMB int64 `json:"memory-mb"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:"accelerators"`
}

func (resources Resources) add(other Resources) Resources {
	return Resources{resources.MilliCores + other.MilliCores, resources.MemoryMB + other.MemoryMB, resources.Accelerators + other.Accelerators}
}

func (resources Resources) subtract(other Resources) Resources {
	return Resources{resources.MilliCores - other.MilliCores, resources.MemoryMB - other.MemoryMB, resources.Accelerators - other.Accelerators}
}

// Fits reports whether size is at most room in every dimension.
func (resources Resources) Fits(room Resources) bool {
	return resources.MilliCores <= room.MilliCores && resources.MemoryMB <= room.MemoryMB && resources.Accelerators <= room.Accelerators
}

// Maximum returns the larger value of each dimension.
func (resources Resources) Maximum(other Resources) Resources {
	return Resources{max(resources.MilliCores, other.MilliCores), max(resources.MemoryMB, other.MemoryMB), max(resources.Accelerators, other.Accelerators)}
}

func (resources Resources) minimum(other Resources) Resources {
	return Resources{min(resources.MilliCores, other.MilliCores), min(resources.MemoryMB, other.MemoryMB), min(resources.Accelerators, other.Accelerators)}
}

// scale multiplies processor time and memory by percent/100; accelerators are indivisible and stay.
func (resources Resources) scale(percent int64) Resources {
	return Resources{resources.MilliCores * percent / 100, resources.MemoryMB * percent / 100, resources.Accelerators}
}

const (
	// trustedSamples is the number of observed tasks from which the estimated size of a kind replaces a larger
	// declared one.
	trustedSamples = 20
	// headroomPercent scales the estimated size, so that ordinary variation does not exceed it.
	headroomPercent = 120
	// decayPercent is the part of the estimate's excess over a new observation that is kept, so that one outlier does
	// not reserve memory forever.
	decayPercent = 97
	// exceededGrowthPercent scales the granted size of a task that exceeded it; the result is the new minimum of the
	// estimate.
	exceededGrowthPercent = 150
)

// sizeEstimate is the estimated size of one kind: a slowly decaying maximum of the observed peaks.
type sizeEstimate struct {
	peak    Resources
	samples int
}

// observe updates the estimate with the peak usage of a task that stayed within its size.
func (sizeEstimate *sizeEstimate) observe(peak Resources) {
	excess := sizeEstimate.peak.subtract(peak)
	decayed := peak.add(excess.scale(decayPercent))
	decayed.Accelerators = max(peak.Accelerators, sizeEstimate.peak.Accelerators)
	sizeEstimate.peak = peak.Maximum(decayed)
	sizeEstimate.samples++
}

// observeExceeded raises the estimate after the worker throttled, checkpointed or stopped a task for exceeding its
// granted size.
func (sizeEstimate *sizeEstimate) observeExceeded(granted, peak Resources) {
	sizeEstimate.peak = sizeEstimate.peak.Maximum(granted.scale(exceededGrowthPercent)).Maximum(peak)
	sizeEstimate.samples = max(sizeEstimate.samples, 1)
}

// request returns the size to request for a task with the declared size.
func (sizeEstimate *sizeEstimate) request(declared Resources) Resources {
	if sizeEstimate.samples == 0 {
		return declared
	}
	estimated := sizeEstimate.peak.scale(headroomPercent)
	estimated.Accelerators = declared.Accelerators
	if sizeEstimate.samples < trustedSamples {
		return declared.Maximum(estimated)
	}
	return estimated
}
