package placer

// Size is what a task needs or a worker has.
type Size struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int64 `json:"milli-cores"`
	// MemoryMB is memory in megabytes.
	MemoryMB int64 `json:"memory-mb"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators"`
}

func (size Size) add(other Size) Size {
	return Size{size.MilliCores + other.MilliCores, size.MemoryMB + other.MemoryMB, size.Accelerators + other.Accelerators}
}

func (size Size) subtract(other Size) Size {
	return Size{size.MilliCores - other.MilliCores, size.MemoryMB - other.MemoryMB, size.Accelerators - other.Accelerators}
}

// Fits reports whether size is no larger than room in any dimension.
func (size Size) Fits(room Size) bool {
	return size.MilliCores <= room.MilliCores && size.MemoryMB <= room.MemoryMB && size.Accelerators <= room.Accelerators
}

// Maximum returns the larger value of each dimension.
func (size Size) Maximum(other Size) Size {
	return Size{max(size.MilliCores, other.MilliCores), max(size.MemoryMB, other.MemoryMB), max(size.Accelerators, other.Accelerators)}
}

func (size Size) minimum(other Size) Size {
	return Size{min(size.MilliCores, other.MilliCores), min(size.MemoryMB, other.MemoryMB), min(size.Accelerators, other.Accelerators)}
}

// scale multiplies the divisible dimensions by percent/100; accelerators are whole.
func (size Size) scale(percent int64) Size {
	return Size{size.MilliCores * percent / 100, size.MemoryMB * percent / 100, size.Accelerators}
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
	peak    Size
	samples int
}

func (sizeEstimate *sizeEstimate) observe(peak Size) {
	excess := sizeEstimate.peak.subtract(peak)
	decayed := peak.add(excess.scale(decayPercent))
	decayed.Accelerators = max(peak.Accelerators, sizeEstimate.peak.Accelerators)
	sizeEstimate.peak = peak.Maximum(decayed)
	sizeEstimate.samples++
}

// guard raises the estimate after the worker throttled, checkpointed or stopped a task that was granted size.
func (sizeEstimate *sizeEstimate) guard(granted, peak Size) {
	sizeEstimate.peak = sizeEstimate.peak.Maximum(granted.scale(guardPercent)).Maximum(peak)
	sizeEstimate.samples = max(sizeEstimate.samples, 1)
}

// request returns the size to ask for, given the declared one.
func (sizeEstimate *sizeEstimate) request(declared Size) Size {
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
