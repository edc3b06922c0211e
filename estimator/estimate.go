package estimator

import (
	"math"
	"slices"
)

// Estimate is the evaluated capacity table.
type Estimate struct {
	scale        Scale
	measurements *Measurements
	entries      []EvaluatedRow
	points       []Saturation
}

// New returns the capacity estimate for scale from measurements.
func New(measurements *Measurements, scale Scale) *Estimate {
	estimate := &Estimate{scale: scale, measurements: measurements}
	for index, row := range model(scale) {
		estimate.entries = append(estimate.entries, measurements.evaluate(row))
		estimate.points = append(estimate.points, measurements.breakPoint(scale, index))
	}
	return estimate
}

// control returns the sum of the control rows of one instance.
func (estimate *Estimate) control() EvaluatedRow {
	var total EvaluatedRow
	for _, evaluated := range estimate.entries {
		if !evaluated.control {
			continue
		}
		total.cpu = total.cpu.plus(evaluated.cpu)
		total.memory = total.memory.plus(evaluated.memory)
		total.wire = total.wire.plus(evaluated.wire)
	}
	return total
}

// Missing returns the benchmark families that the model names and the measurements lack.
func (estimate *Estimate) Missing() []string {
	var missing []string
	for _, evaluated := range estimate.entries {
		for _, quantity := range []Quantity{evaluated.memory, evaluated.messages, evaluated.wire, evaluated.cpu} {
			missing = append(missing, quantity.missing...)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}

// sizing is how many entry instances the peak needs with one mix of jobs.
type sizing struct {
	tasksPerJob float64
	cores       Quantity // busy cores of all instances
	memory      Quantity // bytes of all instances
}

// sizeFor sums the request rows of all entry instances when each job has tasksPerJob tasks.
func (estimate *Estimate) sizeFor(tasksPerJob float64) sizing {
	scale := estimate.scale
	scale.tasksPerJob = tasksPerJob
	sizing := sizing{tasksPerJob: tasksPerJob}
	for _, row := range model(scale) {
		if row.role != roleEntry {
			continue
		}
		evaluated := estimate.measurements.evaluate(row)
		sizing.cores = sizing.cores.plus(evaluated.cpu.times(scale.instances()))
		sizing.memory = sizing.memory.plus(evaluated.memory.times(scale.instances()))
	}
	return sizing
}

func (quantity Quantity) times(factor float64) Quantity {
	quantity.value *= factor
	return quantity
}

// minPerDomain keeps a witness and one spare after the loss of one instance.
const minPerDomain = 3

// perDomain returns how many instances of the given size each failure domain needs so that the peak still fits
// after the loss of lost failure domains whose load is spread evenly over spread others.
func (estimate *Estimate) perDomain(sizing sizing, cores, memory, growth float64) float64 {
	byCPU := sizing.cores.value * growth / estimate.scale.domains / (cores * estimate.scale.usable)
	byMemory := sizing.memory.value * growth / estimate.scale.domains / memory
	return max(math.Ceil(byCPU), math.Ceil(byMemory), minPerDomain)
}

// loss is what the loss of some failure domains does to the load of those that take over their work.
type loss struct {
	name   string
	lost   float64
	takers float64
}

// growth returns the factor by which the load of each taker grows.
func (loss loss) growth() float64 { return (loss.takers + loss.lost) / loss.takers }

func (estimate *Estimate) losses() []loss {
	domains := estimate.scale.domains
	largest := math.Ceil(domains / estimate.scale.regions)
	return []loss{
		{name: "one failure domain, work goes to all others", lost: 1, takers: domains - 1},
		{name: "one failure domain of the largest region, work stays in the region", lost: 1, takers: largest - 1},
		{name: "one failure domain of a region with three, work stays in the region", lost: 1, takers: 2},
		{name: "the largest region, work goes to all others", lost: largest, takers: domains - largest},
	}
}

// appendUse is one use of the log's appends.
type appendUse struct {
	name        string
	rate, bytes float64
}

func (estimate *Estimate) appendUses() []appendUse {
	scale := estimate.scale
	renewals := scale.domains / scale.retentionSeconds
	view := scale.instancesPerDomain * scale.viewBytes
	bundle := estimate.measurements.figure(scale.partRecord(1)).value
	burn := estimate.measurements.figure(line("reporter.Batch", "series", "wire-B/op", scale.seriesPerInstance, 1)).value
	sum := estimate.measurements.figure(line("reporter.Sum", "series", "wire-B/op", scale.seriesPerInstance, 1)).value
	return []appendUse{
		{name: "views after failures and replacements", rate: scale.viewRate()*scale.domains - renewals, bytes: view},
		{name: "view renewals", rate: renewals, bytes: view},
		{name: "bundles", rate: scale.changeRate(), bytes: bundle},
		{name: "bundle renewals (one a retention period)", rate: 1 / scale.retentionSeconds, bytes: bundle},
		{name: "burn records", rate: scale.burnRate(), bytes: burn},
		{name: "hourly burn sums", rate: 1.0 / secondsPerHour, bytes: sum},
	}
}
