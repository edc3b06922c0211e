package estimator

import (
	"math"
	"slices"
)

// Estimate is the evaluated capacity table.
type Estimate struct {
	scale        Scale
	measurements *Measurements
	rows         []EvaluatedRow
	saturations  []Saturation
}

// New returns the capacity estimate for scale from measurements.
func New(measurements *Measurements, scale Scale) *Estimate {
	estimate := &Estimate{scale: scale, measurements: measurements}
	for index, row := range tableRows(scale) {
		estimate.rows = append(estimate.rows, measurements.evaluateRow(row))
		estimate.saturations = append(estimate.saturations, measurements.saturation(scale, index))
	}
	return estimate
}

// controlTotal returns the sum of the control rows of one instance.
func (estimate *Estimate) controlTotal() EvaluatedRow {
	var total EvaluatedRow
	for _, evaluated := range estimate.rows {
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
	for _, evaluated := range estimate.rows {
		for _, quantity := range []Quantity{evaluated.memory, evaluated.messages, evaluated.wire, evaluated.cpu} {
			missing = append(missing, quantity.missing...)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}

// resourceDemand is how many entry instances the peak needs with one mix of jobs.
type resourceDemand struct {
	tasksPerJob float64
	cores       Quantity // busy cores of all instances
	memory      Quantity // bytes of all instances
}

// demandFor sums the request rows of all entry instances when each job has tasksPerJob tasks.
func (estimate *Estimate) demandFor(tasksPerJob float64) resourceDemand {
	scale := estimate.scale
	scale.tasksPerJob = tasksPerJob
	demand := resourceDemand{tasksPerJob: tasksPerJob}
	for _, row := range tableRows(scale) {
		if row.role != roleEntry {
			continue
		}
		evaluated := estimate.measurements.evaluateRow(row)
		demand.cores = demand.cores.plus(evaluated.cpu.multipliedBy(scale.instances()))
		demand.memory = demand.memory.plus(evaluated.memory.multipliedBy(scale.instances()))
	}
	return demand
}

func (quantity Quantity) multipliedBy(factor float64) Quantity {
	quantity.value *= factor
	return quantity
}

// minInstancesPerDomain keeps a witness and one spare after the loss of one instance.
const minInstancesPerDomain = 3

// requiredPerDomain returns how many instances of the given size each failure domain needs so that the peak still fits
// after the loss of lost failure domains whose load is spread evenly over spread others.
func (estimate *Estimate) requiredPerDomain(demand resourceDemand, cores, memory, growth float64) float64 {
	byCPU := demand.cores.value * growth / estimate.scale.domains / (cores * estimate.scale.usableShare)
	byMemory := demand.memory.value * growth / estimate.scale.domains / memory
	return max(math.Ceil(byCPU), math.Ceil(byMemory), minInstancesPerDomain)
}

// lossScenario is what the loss of some failure domains does to the load of those that take over their work.
type lossScenario struct {
	name      string
	lost      float64
	absorbing float64
}

// loadGrowth returns the factor by which the load of each taker grows.
func (loss lossScenario) loadGrowth() float64 { return (loss.absorbing + loss.lost) / loss.absorbing }

func (estimate *Estimate) lossScenarios() []lossScenario {
	domains := estimate.scale.domains
	largest := math.Ceil(domains / estimate.scale.regions)
	return []lossScenario{
		{name: "one failure domain, work goes to all others", lost: 1, absorbing: domains - 1},
		{name: "one failure domain of the largest region, work stays in the region", lost: 1, absorbing: largest - 1},
		{name: "one failure domain of a region with three, work stays in the region", lost: 1, absorbing: 2},
		{name: "the largest region, work goes to all others", lost: largest, absorbing: domains - largest},
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
	bundle := estimate.measurements.evaluateTerm(scale.partRecord(1)).value
	burn := estimate.measurements.evaluateTerm(measuredTerm("reporter.Batch", "series", "wire-B/op", scale.seriesPerInstance, 1)).value
	sum := estimate.measurements.evaluateTerm(measuredTerm("reporter.Sum", "series", "wire-B/op", scale.seriesPerInstance, 1)).value
	return []appendUse{
		{name: "views after failures and replacements", rate: scale.viewRate()*scale.domains - renewals, bytes: view},
		{name: "view renewals", rate: renewals, bytes: view},
		{name: "bundles", rate: scale.bundleRate(), bytes: bundle},
		{name: "bundle renewals (one a retention period)", rate: 1 / scale.retentionSeconds, bytes: bundle},
		{name: "burn records", rate: scale.burnRecordRate(), bytes: burn},
		{name: "hourly burn sums", rate: 1.0 / secondsPerHour, bytes: sum},
	}
}
