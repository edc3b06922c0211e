package estimator

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// maxLineBytes bounds one line of benchmark output.
const maxLineBytes = 1 << 20

// procsSuffix is the GOMAXPROCS suffix that go test adds to a benchmark's name.
var procsSuffix = regexp.MustCompile(`-\d+$`)

// sample is one measured value at one size.
type sample struct{ size, value float64 }

// seriesKey identifies the samples that one line is fitted to. The family is package.Name with the labels that stay
// fixed, the dimension is the label that varies (empty for a benchmark without sizes).
type seriesKey struct{ family, dimension, unit string }

// Measurements holds the parsed output of go test -bench.
type Measurements struct {
	samples map[seriesKey][]sample
	cpu     string
}

// CPUModel returns the processor that the benchmark output names, or an empty string.
func (measurements *Measurements) CPUModel() string { return measurements.cpu }

// FamilyCount returns the number of benchmark families; the sizes of one benchmark count once.
func (measurements *Measurements) FamilyCount() int {
	families := make(map[string]bool)
	for series := range measurements.samples {
		families[series.family] = true
	}
	return len(families)
}

// Parse reads the output of go test -bench. It fails on a malformed benchmark line and on a failed package, because a
// table without the lost measurements would look complete.
func Parse(reader io.Reader) (*Measurements, error) {
	measurements := &Measurements{samples: make(map[seriesKey][]sample)}
	lines := bufio.NewScanner(reader)
	lines.Buffer(nil, maxLineBytes)
	packageName := ""
	for lines.Scan() {
		line := lines.Text()
		if path, ok := strings.CutPrefix(line, "pkg: "); ok {
			packageName = path[strings.LastIndexByte(path, '/')+1:]
		} else if cpu, ok := strings.CutPrefix(line, "cpu: "); ok {
			measurements.cpu = cpu
		} else if strings.HasPrefix(line, "FAIL") || strings.HasPrefix(line, "--- FAIL") {
			return nil, eris.Errorf("the benchmarks failed: %s", line)
		} else if strings.HasPrefix(line, "Benchmark") {
			if err := measurements.add(packageName, strings.Fields(line)); err != nil {
				return nil, eris.Wrapf(err, "parsing benchmark line %q", line)
			}
		}
	}
	return measurements, eris.Wrap(lines.Err(), "reading benchmark output")
}

// add records the values on one benchmark line: name, iterations, then pairs of value and unit.
func (measurements *Measurements) add(packageName string, fields []string) error {
	if len(fields) == 1 {
		return nil // go test prints the name alone before the output of a benchmark that logs.
	}
	if len(fields) < 4 || len(fields)%2 != 0 {
		return eris.New("expected a name, an iteration count and pairs of value and unit")
	}
	labels := strings.Split(procsSuffix.ReplaceAllString(strings.TrimPrefix(fields[0], "Benchmark"), ""), "/")
	for i := 2; i < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return eris.Wrap(err, "parsing a value")
		}
		measurements.addValue(packageName+".", labels, fields[i+1], value)
	}
	return nil
}

// addValue records one value once per numeric label, as a sample along that dimension. The other labels become part
// of the family name.
func (measurements *Measurements) addValue(prefix string, labels []string, unit string, value float64) {
	hasSize := false
	for i, label := range labels {
		dimension, text, ok := strings.Cut(label, "=")
		if !ok && i > 0 {
			dimension, text, ok = "size", label, true // a label without a dimension, such as 30
		}
		size, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			continue
		}
		hasSize = true
		others := append(append([]string(nil), labels[:i]...), labels[i+1:]...)
		key := seriesKey{family: prefix + strings.Join(others, "/"), dimension: dimension, unit: unit}
		measurements.samples[key] = append(measurements.samples[key], sample{size: size, value: value})
	}
	if !hasSize {
		key := seriesKey{family: prefix + strings.Join(labels, "/"), unit: unit}
		measurements.samples[key] = append(measurements.samples[key], sample{value: value})
	}
}
