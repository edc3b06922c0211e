package placer

// Resources is what a task needs or a worker has.
type Resources struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int64 `json:"milli-cores"`
	// MemoryMB is memory in megabytes.
	MemoryMB int64 `json:"memory-mb"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators"`
}

func (resources Resources) add(other Resources) Resources {
	return Resources{resources.MilliCores + other.MilliCores, resources.MemoryMB + other.MemoryMB, resources.Accelerators + other.Accelerators}
}

func (resources Resources) subtract(other Resources) Resources {
	return Resources{resources.MilliCores - other.MilliCores, resources.MemoryMB - other.MemoryMB, resources.Accelerators - other.Accelerators}
}

// Fits reports whether size is no larger than room in any dimension.
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

// scale multiplies the divisible dimensions by percent/100; accelerators are whole.
func (resources Resources) scale(percent int64) Resources {
	return Resources{resources.MilliCores * percent / 100, resources.MemoryMB * percent / 100, resources.Accelerators}
}

const (
	// trustedSamples is the number of observed tasks before a kind's learned size replaces a larger declared one.
	trustedSamples = 20
	// headroomPercent is added to the learned size so that ordinary variation does not trip the guard.
	headroomPercent = 120
	// decayPercent of the excess over the newest observation remains after each observation, so that one
	// outlier does not reserve memory for ever.
	decayPercent = 97
	// guardPercent is the least growth of the learned size after the guard acted on a task.
	guardPercent = 150
)

// sizeEstimate is the learned size of one kind: a slowly decaying maximum of observed peaks.
type sizeEstimate struct {
	peak    Resources
	samples int
}

func (sizeEstimate *sizeEstimate) observe(peak Resources) {
	excess := sizeEstimate.peak.subtract(peak)
	decayed := peak.add(excess.scale(decayPercent))
	decayed.Accelerators = max(peak.Accelerators, sizeEstimate.peak.Accelerators)
	sizeEstimate.peak = peak.Maximum(decayed)
	sizeEstimate.samples++
}

// guard raises the estimate after the worker throttled, checkpointed or stopped a task that was granted size.
func (sizeEstimate *sizeEstimate) guard(granted, peak Resources) {
	sizeEstimate.peak = sizeEstimate.peak.Maximum(granted.scale(guardPercent)).Maximum(peak)
	sizeEstimate.samples = max(sizeEstimate.samples, 1)
}

// request returns the size to ask for, given the declared one.
func (sizeEstimate *sizeEstimate) request(declared Resources) Resources {
	if sizeEstimate.samples == 0 {
		return declared
	}
	learned := sizeEstimate.peak.scale(headroomPercent)
	learned.Accelerators = declared.Accelerators
	if sizeEstimate.samples < trustedSamples {
		return declared.Maximum(learned)
	}
	return learned
}
