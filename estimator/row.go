package estimator

import (
	"math"
	"slices"
)

// term is one summand of a figure: a fitted line at a size, times a count; without a family it is the count alone.
type term struct {
	series
	size  float64
	times float64
	// fallback stands in for a family that is not measured yet; the family is still listed as missing.
	fallback *term
}

// or returns the term with a fallback.
func (term term) or(fallback term) term {
	term.fallback = &fallback
	return term
}

// line returns the term for one unit of a benchmark family at a size, times a count.
func line(family, dimension, unit string, size, times float64) term {
	return term{series: series{family: family, dimension: dimension, unit: unit}, size: size, times: times}
}

// work returns the CPU share of an operation that runs rate times a second.
func work(family, dimension string, size, rate float64) term {
	return line(family, dimension, "ns/op", size, rate*1e-9)
}

// socketWork is work for benchmarks over sockets, which report CPU time beside wall time.
func socketWork(family, dimension string, size, rate float64) term {
	return line(family, dimension, "cpu-ns/op", size, rate*1e-9)
}

// flat returns a term that rests on no measurement.
func flat(value float64) term { return term{times: value} }

// Grade says what a figure rests on.
type Grade int

// Grades of figures, from best to worst; a sum has the worst grade of its terms.
const (
	// Calculated means counted from the protocol and the scale, without a measurement.
	Calculated Grade = iota
	// Extrapolated means a measured cost within the measured sizes, times a rate that was never run.
	Extrapolated
	// BeyondMeasuredRange means that the line is read outside the measured sizes.
	BeyondMeasuredRange
	// NotFitted means that fewer than three sizes were measured.
	NotFitted
)

// Quantity is one number of the table.
type Quantity struct {
	value   float64
	grade   Grade
	missing []string
}

// Value returns the number, without the terms that are not measured yet.
func (quantity Quantity) Value() float64 { return quantity.value }

// Missing returns the benchmark families that the figure lacks.
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

// sum adds up terms.
func (measurements *Measurements) sum(terms []term) Quantity {
	var total Quantity
	for _, term := range terms {
		total = total.plus(measurements.figure(term))
	}
	return total
}

func (measurements *Measurements) figure(term term) Quantity {
	if term.family == "" {
		return Quantity{value: term.times}
	}
	fit, ok := measurements.fit(term.series)
	switch {
	case !ok && term.fallback != nil:
		return measurements.figure(*term.fallback).plus(Quantity{missing: []string{term.family}})
	case !ok:
		return Quantity{missing: []string{term.family}}
	case !fit.Fitted():
		return Quantity{value: fit.At(term.size) * term.times, grade: NotFitted}
	case !fit.Covers(term.size):
		return Quantity{value: fit.At(term.size) * term.times, grade: BeyondMeasuredRange}
	}
	return Quantity{value: fit.At(term.size) * term.times, grade: Extrapolated}
}

// limits are the values at which a row breaks; zero means no limit.
type limits struct{ cpu, memory, wire, messages float64 }

// row is one function of one role: its costs as terms, and what carries it.
type row struct {
	role     string
	function string
	control  bool
	driver   driver
	limits   limits

	state    []term // bytes that are held
	memory   []term // bytes beyond state: buffers and garbage
	messages []term // per second
	wire     []term // bytes per second, both directions
	cpu      []term // share of a core

	mechanism string
	breaks    string
	next      string
}

// EvaluatedRow is an evaluated row of the table.
type EvaluatedRow struct {
	row
	state, memory, messages, wire, cpu Quantity
}

func (measurements *Measurements) evaluate(row row) EvaluatedRow {
	state := measurements.sum(row.state)
	return EvaluatedRow{
		row: row, state: state, memory: state.plus(measurements.sum(row.memory)),
		messages: measurements.sum(row.messages), wire: measurements.sum(row.wire), cpu: measurements.sum(row.cpu),
	}
}

// exceeded returns the first resource that passes its limit, or an empty name.
func (evaluated EvaluatedRow) exceeded() (string, Grade) {
	for _, check := range []struct {
		name   string
		figure Quantity
		limit  float64
	}{
		{"CPU", evaluated.cpu, evaluated.limits.cpu},
		{"memory", evaluated.memory, evaluated.limits.memory},
		{"bytes/s", evaluated.wire, evaluated.limits.wire},
		{"messages/s", evaluated.messages, evaluated.limits.messages},
	} {
		if check.limit > 0 && check.figure.value > check.limit {
			return check.name, check.figure.grade
		}
	}
	return "", Calculated
}

// Saturation is the size at which a row first passes a limit.
type Saturation struct {
	size     float64
	target   float64
	resource string
	grade    Grade
}

// BelowTarget reports whether the row breaks before the target scale.
func (point Saturation) BelowTarget() bool { return point.resource != "" && point.size < point.target }

// maxFactor bounds the search for a break; a row that holds at this multiple of the target is reported as such.
const maxFactor = 1024

// breakPoint searches for the smallest size of the row's driver at which a limit is passed, between 1/1024 of
// the target and 1024 times the target; every figure must grow with its driver.
func (measurements *Measurements) breakPoint(scale Scale, index int) Saturation {
	driver := model(scale)[index].driver
	target := *scale.field(driver)
	at := func(factor float64) (string, Grade) {
		varied := scale
		*varied.field(driver) = target * factor
		return measurements.evaluate(model(varied)[index]).exceeded()
	}
	if resource, _ := at(maxFactor); resource == "" {
		return Saturation{size: target * maxFactor, target: target}
	}
	low, high := 1.0/maxFactor, float64(maxFactor)
	for high/low > 1.005 {
		middle := math.Sqrt(low * high)
		if resource, _ := at(middle); resource == "" {
			low = middle
		} else {
			high = middle
		}
	}
	resource, grade := at(high)
	return Saturation{size: target * high, target: target, resource: resource, grade: grade}
}
