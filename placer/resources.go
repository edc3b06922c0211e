package placer

// Resources holds the amounts of resources that a task needs or a worker has.
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

// Fits reports whether resources is at most available in every dimension.
func (resources Resources) Fits(available Resources) bool {
	return resources.MilliCores <= available.MilliCores && resources.MemoryMB <= available.MemoryMB && resources.Accelerators <= available.Accelerators
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
	// trustedSamples is the number of observed tasks from which the estimate of a kind replaces larger declared
	// resources.
	trustedSamples = 20
	// headroomPercent scales the estimate, so that ordinary variation does not exceed the granted resources.
	headroomPercent = 120
	// decayPercent is the part of the estimate's excess over a new observation that is kept, so that one outlier does
	// not reserve memory forever.
	decayPercent = 97
	// exceededGrowthPercent scales the granted resources of a task that exceeded them; the result is the new minimum
	// of the estimate.
	exceededGrowthPercent = 150
)

// resourceEstimate is the estimate of the resources of one kind: a slowly decaying maximum of the observed peaks.
type resourceEstimate struct {
	peak    Resources
	samples int
}

// observe updates the estimate with the peak usage of a task that stayed within its resources.
func (resourceEstimate *resourceEstimate) observe(peak Resources) {
	excess := resourceEstimate.peak.subtract(peak)
	decayed := peak.add(excess.scale(decayPercent))
	decayed.Accelerators = max(peak.Accelerators, resourceEstimate.peak.Accelerators)
	resourceEstimate.peak = peak.Maximum(decayed)
	resourceEstimate.samples++
}

// observeExceeded raises the estimate after the worker throttled, checkpointed or stopped a task for exceeding its
// granted resources.
func (resourceEstimate *resourceEstimate) observeExceeded(granted, peak Resources) {
	resourceEstimate.peak = resourceEstimate.peak.Maximum(granted.scale(exceededGrowthPercent)).Maximum(peak)
	resourceEstimate.samples = max(resourceEstimate.samples, 1)
}

// request returns the resources to request for a task with the declared resources.
func (resourceEstimate *resourceEstimate) request(declared Resources) Resources {
	if resourceEstimate.samples == 0 {
		return declared
	}
	estimated := resourceEstimate.peak.scale(headroomPercent)
	estimated.Accelerators = declared.Accelerators
	if resourceEstimate.samples < trustedSamples {
		return declared.Maximum(estimated)
	}
	return estimated
}
