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

// sample is one measured value of one unit at one size.
type sample struct{ size, value float64 }

// series identifies the samples that one line is fitted to: family is package.Name, dimension is the
// label that varies (empty for a benchmark without sizes).
type series struct{ family, dimension, unit string }

// Measurements holds parsed benchmark results.
type Measurements struct {
	samples map[series][]sample
	cpu     string
}

// CPUModel returns the processor that the benchmarks name, or an empty string.
func (measurements *Measurements) CPUModel() string { return measurements.cpu }

// FamilyCount returns how many different benchmarks were read, not counting sizes.
func (measurements *Measurements) FamilyCount() int {
	families := make(map[string]bool)
	for series := range measurements.samples {
		families[series.family] = true
	}
	return len(families)
}

// Parse reads the output of go test -bench, and fails on a benchmark line that it cannot read and on a
// failed package, because a table that lacks a measured row would look complete.
func Parse(reader io.Reader) (*Measurements, error) {
	measurements := &Measurements{samples: make(map[series][]sample)}
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
				return nil, eris.Wrapf(err, "reading %q", line)
			}
		}
	}
	return measurements, eris.Wrap(lines.Err(), "reading benchmark output")
}

// add records the value of each unit on one benchmark line: name, iterations, then pairs of value and unit.
func (measurements *Measurements) add(packageName string, fields []string) error {
	if len(fields) == 1 {
		return nil // The name alone precedes the output of a benchmark that logs.
	}
	if len(fields) < 4 || len(fields)%2 != 0 {
		return eris.New("a benchmark line has a name, a count and pairs of value and unit")
	}
	names := strings.Split(procsSuffix.ReplaceAllString(strings.TrimPrefix(fields[0], "Benchmark"), ""), "/")
	for i := 2; i < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return eris.Wrap(err, "reading a value")
		}
		measurements.addValue(packageName+".", names, fields[i+1], value)
	}
	return nil
}

// addValue files one value under each numeric label; the other labels become part of the family's name.
func (measurements *Measurements) addValue(prefix string, names []string, unit string, value float64) {
	sized := false
	for i, name := range names {
		dimension, text, ok := strings.Cut(name, "=")
		if !ok && i > 0 {
			dimension, text, ok = "size", name, true // a bare number
		}
		size, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			continue
		}
		sized = true
		others := append(append([]string(nil), names[:i]...), names[i+1:]...)
		key := series{family: prefix + strings.Join(others, "/"), dimension: dimension, unit: unit}
		measurements.samples[key] = append(measurements.samples[key], sample{size: size, value: value})
	}
	if !sized {
		key := series{family: prefix + strings.Join(names, "/"), unit: unit}
		measurements.samples[key] = append(measurements.samples[key], sample{value: value})
	}
}
