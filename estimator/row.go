package estimator

import (
	"math"
	"slices"
)

// term is one summand of a quantity: the value of a fitted line at a size, times a multiplier. Without a family it is
// the multiplier alone.
type term struct {
	seriesKey
	size       float64
	multiplier float64
	// fallback replaces a family without measurements; the family is still listed as missing.
	fallback *term
}

// withFallback returns a copy of the term that falls back to another one if its family has no measurements.
func (term term) withFallback(fallback term) term {
	term.fallback = &fallback
	return term
}

// measuredTerm returns the term for one unit of a benchmark family at a size, times a multiplier.
func measuredTerm(family, dimension, unit string, size, multiplier float64) term {
	return term{seriesKey: seriesKey{family: family, dimension: dimension, unit: unit}, size: size, multiplier: multiplier}
}

// cpuTerm returns the share of a core taken by an operation that runs rate times per second.
func cpuTerm(family, dimension string, size, rate float64) term {
	return measuredTerm(family, dimension, "ns/op", size, rate*1e-9)
}

// socketCPUTerm is cpuTerm for benchmarks over sockets, which report CPU time in addition to wall time.
func socketCPUTerm(family, dimension string, size, rate float64) term {
	return measuredTerm(family, dimension, "cpu-ns/op", size, rate*1e-9)
}

// constantTerm returns a term that depends on no measurement.
func constantTerm(value float64) term { return term{multiplier: value} }

// Grade rates how well measurements support a quantity.
type Grade int

// Grades from best to worst; a sum has the worst grade of its terms.
const (
	// Calculated quantities follow from the protocol and the scale, without a measurement.
	Calculated Grade = iota
	// Extrapolated quantities multiply a cost within the measured sizes by a rate that was never run.
	Extrapolated
	// BeyondMeasuredRange means that a fitted line was evaluated outside the measured sizes.
	BeyondMeasuredRange
	// NotFitted means that fewer than three sizes were measured.
	NotFitted
)

// Quantity is one value of the table, with its grade and the benchmark families that it lacks.
type Quantity struct {
	value   float64
	grade   Grade
	missing []string
}

// Value returns the sum of the terms that have been measured.
func (quantity Quantity) Value() float64 { return quantity.value }

// Missing returns the benchmark families that the quantity lacks.
func (quantity Quantity) Missing() []string { return quantity.missing }

func (quantity Quantity) plus(other Quantity) Quantity {
	missing := append(append([]string(nil), quantity.missing...), other.missing...)
	slices.Sort(missing)
	return Quantity{
		value:   quantity.value + other.value,
		grade:   max(quantity.grade, other.grade),
		missing: slices.Compact(missing),
	}
}

// sum evaluates terms and adds them up.
func (measurements *Measurements) sum(terms []term) Quantity {
	var total Quantity
	for _, term := range terms {
		total = total.plus(measurements.evaluateTerm(term))
	}
	return total
}

func (measurements *Measurements) evaluateTerm(term term) Quantity {
	if term.family == "" {
		return Quantity{value: term.multiplier}
	}
	fit, ok := measurements.fit(term.seriesKey)
	switch {
	case !ok && term.fallback != nil:
		return measurements.evaluateTerm(*term.fallback).plus(Quantity{missing: []string{term.family}})
	case !ok:
		return Quantity{missing: []string{term.family}}
	case !fit.Fitted():
		return Quantity{value: fit.At(term.size) * term.multiplier, grade: NotFitted}
	case !fit.Covers(term.size):
		return Quantity{value: fit.At(term.size) * term.multiplier, grade: BeyondMeasuredRange}
	}
	return Quantity{value: fit.At(term.size) * term.multiplier, grade: Extrapolated}
}

// limits are the values above which a resource is exhausted; zero means no limit.
type limits struct{ cpu, memory, wire, messages float64 }

// row describes one function of one role: its costs as terms, the mechanism that implements it and what limits it.
type row struct {
	role     string
	function string
	control  bool
	driver   driver
	limits   limits

	state    []term // bytes held
	memory   []term // bytes in addition to state: buffers and garbage
	messages []term // per second
	wire     []term // bytes per second, both directions
	cpu      []term // share of a core

	mechanism     string
	bottleneck    string
	nextMechanism string
}

// EvaluatedRow is a row with its quantities; memory includes state.
type EvaluatedRow struct {
	row
	state, memory, messages, wire, cpu Quantity
}

func (measurements *Measurements) evaluateRow(row row) EvaluatedRow {
	state := measurements.sum(row.state)
	return EvaluatedRow{
		row: row, state: state, memory: state.plus(measurements.sum(row.memory)),
		messages: measurements.sum(row.messages), wire: measurements.sum(row.wire), cpu: measurements.sum(row.cpu),
	}
}

// exceeded returns the name and grade of the first resource above its limit, or an empty name.
func (evaluated EvaluatedRow) exceeded() (string, Grade) {
	for _, check := range []struct {
		name     string
		quantity Quantity
		limit    float64
	}{
		{"CPU", evaluated.cpu, evaluated.limits.cpu},
		{"memory", evaluated.memory, evaluated.limits.memory},
		{"bytes/s", evaluated.wire, evaluated.limits.wire},
		{"messages/s", evaluated.messages, evaluated.limits.messages},
	} {
		if check.limit > 0 && check.quantity.value > check.limit {
			return check.name, check.quantity.grade
		}
	}
	return "", Calculated
}

// Saturation is the value of a row's driver at which the row first exceeds a limit. The resource is empty if no limit
// was exceeded up to size.
type Saturation struct {
	size     float64
	target   float64
	resource string
	grade    Grade
}

// BelowTarget reports whether the row exceeds a limit before its driver reaches the target scale.
func (point Saturation) BelowTarget() bool { return point.resource != "" && point.size < point.target }

// maxScaleFactor bounds the search for a saturation; a row that stays within its limits at this multiple of the target
// is reported without one.
const maxScaleFactor = 1024

// saturation searches, by bisection, for the smallest value of the row's driver at which a limit is exceeded, between
// 1/1024 of the target and 1024 times the target. This requires that every quantity grows with its driver.
func (measurements *Measurements) saturation(scale Scale, index int) Saturation {
	driver := tableRows(scale)[index].driver
	target := *scale.driverValue(driver)
	exceededAt := func(factor float64) (string, Grade) {
		varied := scale
		*varied.driverValue(driver) = target * factor
		return measurements.evaluateRow(tableRows(varied)[index]).exceeded()
	}
	if resource, _ := exceededAt(maxScaleFactor); resource == "" {
		return Saturation{size: target * maxScaleFactor, target: target}
	}
	low, high := 1.0/maxScaleFactor, float64(maxScaleFactor)
	for high/low > 1.005 {
		middle := math.Sqrt(low * high)
		if resource, _ := exceededAt(middle); resource == "" {
			low = middle
		} else {
			high = middle
		}
	}
	resource, grade := exceededAt(high)
	return Saturation{size: target * high, target: target, resource: resource, grade: grade}
}
