package estimator

import (
	"math"
	"slices"
)

// Estimate is the capacity table evaluated for one scale.
type Estimate struct {
	scale        Scale
	measurements *Measurements
	rows         []EvaluatedRow
	saturations  []Saturation
}

// New evaluates the capacity table for scale with the costs fitted to measurements.
func New(measurements *Measurements, scale Scale) *Estimate {
	estimate := &Estimate{scale: scale, measurements: measurements}
	for index, row := range tableRows(scale) {
		estimate.rows = append(estimate.rows, measurements.evaluateRow(row))
		estimate.saturations = append(estimate.saturations, measurements.saturation(scale, index))
	}
	return estimate
}

// controlTotal returns the sum of CPU, memory and traffic over the control rows, per instance.
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

// Missing returns the benchmark families that the model uses and the measurements lack.
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

// demand is what all entry instances together need at the peak for one job size.
type demand struct {
	tasksPerJob float64
	cores       Quantity // busy cores of all instances
	memory      Quantity // bytes of all instances
}

// demandFor sums the request rows over all entry instances for jobs of tasksPerJob tasks.
func (estimate *Estimate) demandFor(tasksPerJob float64) demand {
	scale := estimate.scale
	scale.tasksPerJob = tasksPerJob
	demand := demand{tasksPerJob: tasksPerJob}
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

// minInstancesPerDomain is the smallest number of instances of a failure domain: after the loss of one, its witness and
// one spare are left.
const minInstancesPerDomain = 3

// requiredPerDomain returns how many instances of the given size each failure domain needs to serve demand when its
// load grows by the factor growth. The demand is spread evenly over the failure domains.
func (estimate *Estimate) requiredPerDomain(demand demand, cores, memory, growth float64) float64 {
	byCPU := demand.cores.value * growth / estimate.scale.domains / (cores * estimate.scale.usableShare)
	byMemory := demand.memory.value * growth / estimate.scale.domains / memory
	return max(math.Ceil(byCPU), math.Ceil(byMemory), minInstancesPerDomain)
}

// loss is the loss of some failure domains, whose load is spread evenly over the absorbing ones.
type loss struct {
	name      string
	lost      float64
	absorbing float64
}

// loadGrowth returns the factor by which the load of each absorbing failure domain grows.
func (loss loss) loadGrowth() float64 { return (loss.absorbing + loss.lost) / loss.absorbing }

func (estimate *Estimate) losses() []loss {
	domains := estimate.scale.domains
	largestRegionDomains := math.Ceil(domains / estimate.scale.regions)
	return []loss{
		{name: "one failure domain, work goes to all others", lost: 1, absorbing: domains - 1},
		{name: "one failure domain of the largest region, work stays in the region", lost: 1, absorbing: largestRegionDomains - 1},
		{name: "one failure domain of a region with three, work stays in the region", lost: 1, absorbing: 2},
		{name: "the largest region, work goes to all others", lost: largestRegionDomains, absorbing: domains - largestRegionDomains},
	}
}

// appendUse is one kind of record that is appended to the log, with its rate and size.
type appendUse struct {
	name        string
	rate, bytes float64
}

func (estimate *Estimate) logAppends() []appendUse {
	scale := estimate.scale
	renewalRate := scale.domains / scale.retentionSeconds
	viewRecordBytes := scale.instancesPerDomain * scale.viewBytes
	bundleRecordBytes := estimate.measurements.evaluateTerm(scale.partRecord(1)).value
	burnRecordBytes := estimate.measurements.evaluateTerm(measuredTerm("reporter.Batch", "series", "wire-B/op", scale.seriesPerInstance, 1)).value
	sumRecordBytes := estimate.measurements.evaluateTerm(measuredTerm("reporter.Sum", "series", "wire-B/op", scale.seriesPerInstance, 1)).value
	return []appendUse{
		{name: "views after failures and replacements", rate: scale.viewRate()*scale.domains - renewalRate, bytes: viewRecordBytes},
		{name: "view renewals", rate: renewalRate, bytes: viewRecordBytes},
		{name: "bundles", rate: scale.bundleRate(), bytes: bundleRecordBytes},
		{name: "bundle renewals (one a retention period)", rate: 1 / scale.retentionSeconds, bytes: bundleRecordBytes},
		{name: "burn records", rate: scale.burnRecordRate(), bytes: burnRecordBytes},
		{name: "hourly burn sums", rate: 1.0 / secondsPerHour, bytes: sumRecordBytes},
	}
}
