package estimator

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const testOutput = `goos: linux
pkg: example.org/mod/alpha
cpu: test processor
BenchmarkBeta/items=1-2         	 100	 2.0 ns/op	 50 wire-B/op	 3 B/op
BenchmarkBeta/items=2-2         	 100	 4.0 ns/op	 60 wire-B/op	 3 B/op
BenchmarkBeta/items=4-2         	 100	 4.0 ns/op	 80 wire-B/op	 3 B/op
BenchmarkGamma/ini/rows=8/cols=3-2	 100	 7 ns/op
BenchmarkBare/30-2 	 100	 3 ns/op
BenchmarkDelta-2 	 100	 9 ns/op
PASS
ok  	example.org/mod/alpha	1.0s
`

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9*max(1, math.Abs(b)) }

// Guards against a wrong fit. The expected line was computed by hand from the weights 1/4, 1/16 and 1/16.
func TestFitAgainstHandComputedLine(t *testing.T) {
	is := is.New(t)
	measurements, err := Parse(strings.NewReader(testOutput))
	is.NoErr(err)
	fit, ok := measurements.fit(seriesKey{"alpha.Beta", "items", "ns/op"})
	is.True(ok && fit.Fitted())
	is.True(approxEqual(fit.Slope(), 8.0/11))
	is.True(approxEqual(fit.Intercept(), 16.0/11))
	is.True(approxEqual(fit.Spread(), math.Sqrt(1.0/11)))
	is.True(fit.Covers(4) && !fit.Covers(5))

	fit, ok = measurements.fit(seriesKey{"alpha.Gamma/ini/cols=3", "rows", "ns/op"})
	is.True(ok && !fit.Fitted() && approxEqual(fit.At(1000), 7)) // no slope is derived from one size
	_, ok = measurements.fit(seriesKey{"alpha.Bare", "size", "ns/op"})
	is.True(ok)
	fit, ok = measurements.fit(seriesKey{"alpha.Delta", "", "ns/op"})
	is.True(ok && !fit.Fitted() && approxEqual(fit.At(0), 9)) // a benchmark without a size
}

// Guards against wrong sums and grades, and against a missing benchmark that counts as zero cost without a mark.
func TestSumAgainstHandComputedRow(t *testing.T) {
	measurements, err := Parse(strings.NewReader(testOutput))
	if err != nil {
		t.Fatal(err)
	}
	wire := func(size, multiplier float64) term {
		return measuredTerm("alpha.Beta", "items", "wire-B/op", size, multiplier)
	}
	tests := []struct {
		name  string
		terms []term
		want  string
	}{
		{"nothing", nil, "0"},
		{"constant", []term{constantTerm(2), constantTerm(3)}, "5 *c*"},
		{"within the sizes: 3*70+1", []term{wire(3, 3), constantTerm(1)}, "211 *x*"},
		{"beyond the sizes: 2*(40+10*100)", []term{wire(100, 2)}, "2080 *xx*"},
		{"not fitted: 2*9", []term{measuredTerm("alpha.Delta", "", "ns/op", 0, 2)}, "18 *nf*"},
		{"fallback for a missing one: 50+2", []term{measuredTerm("alpha.Absent", "items", "ns/op", 1, 1).withFallback(wire(1, 1)), constantTerm(2)}, "52 *x* + ?"},
		{"partly missing", []term{wire(1, 1), measuredTerm("alpha.Absent", "items", "ns/op", 1, 1)}, "50 *x* + ?"},
		{"missing", []term{measuredTerm("alpha.Absent", "items", "ns/op", 1, 1)}, "not measured yet"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(measurements.sum(test.terms).String(), test.want)
		})
	}
}

// Guards against wrong rows for bundles. With 100 bytes per target and 8,640 bundles a day (0.1/s), 22,000 targets cost
// 22,000*100*0.1*4/3 bytes/s, and the budget of 28,000 bytes/s is exhausted at 2,100 targets.
func TestBundleRowAgainstHandComputedCase(t *testing.T) {
	is := is.New(t)
	measurements, err := Parse(strings.NewReader(`pkg: m/bundler
BenchmarkParse/targets=50 1 5000 ns/op 5000 record-B
BenchmarkParse/targets=500 1 50000 ns/op 50000 record-B
BenchmarkParse/targets=22000 1 2200000 ns/op 2200000 record-B
`))
	is.NoErr(err)
	scale := TargetScale()
	scale.bundlesPerDay = 8_640
	estimate := New(measurements, scale)
	for i, evaluated := range estimate.rows {
		if evaluated.role != roleConfig || evaluated.control {
			continue
		}
		is.True(approxEqual(evaluated.wire.Value(), 22_000*100*0.1*4/3))
		is.True(approxEqual(evaluated.cpu.Value(), 0.1*2.2e6*1e-9))
		is.Equal(evaluated.cpu.Missing(), []string{"appender.Read", "bundler.Fold"})
		is.True(estimate.saturations[i].BelowTarget())
		is.Equal(estimate.saturations[i].resource, "bytes/s")
		is.True(math.Abs(estimate.saturations[i].size-2_100) < 21) // the search stops within 1%
		partRow := estimate.rows[i+1]                              // a part has 22,000/27 targets
		is.True(approxEqual(partRow.wire.Value(), 22_000*100*0.1*4/3/27))
		is.True(!estimate.saturations[i+1].BelowTarget())
	}
}

// Guards against message rates that are off by a factor. The expected rates were computed by hand for 162 instances:
// 700,000 starts/s in jobs of 20 tasks are 216.05 jobs/s and 4,321 starts/s per instance.
func TestMessageRatesAgainstHandComputedOnes(t *testing.T) {
	tests := []struct {
		function string
		want     float64
	}{
		{"requests: read, decode, digest", 2 * 700_000 / 20 / 162.0},
		{"task starts", 2 * 700_000 / 162.0},
		{"start records: owner and witness", 4 * 700_000 / 20 / 162.0},
		{"heartbeats and suspicion", 2 * 5},
		{"bundles split per failure domain: read, verify, parse", 2 * 9_500 / 86_400.0},
		{"log: appends", 27/600.0 + 2*1_640/86_400.0 + 9_500/86_400.0 + 162/60.0 + 1/3_600.0},
		{"hourly sums: read them, append them at the own turn", 2 / 3_600.0},
		{"a report of three days, read from the log in a minute", (162*90/1_000.0 + 72) / 60},
	}
	estimate := New(&Measurements{}, TargetScale())
	for _, test := range tests {
		t.Run(test.function, func(t *testing.T) {
			is := is.New(t)
			for _, evaluated := range estimate.rows {
				if evaluated.function == test.function {
					is.True(approxEqual(evaluated.messages.Value(), test.want))
					return
				}
			}
			t.Error("the table has no such row")
		})
	}
}

// Guards against accepting output of failed benchmarks or malformed lines: the table would lack measurements and still
// look complete.
func TestParseRejects(t *testing.T) {
	for _, text := range []string{
		"pkg: m/a\nBenchmarkX-2 100 1 ns/op\nFAIL\tm/a\t1s\n",
		"--- FAIL: BenchmarkX\n",
		"BenchmarkX-2 100 fast ns/op\n",
		"BenchmarkX-2 100 1\n",
	} {
		is := is.New(t)
		_, err := Parse(strings.NewReader(text))
		is.True(err != nil)
	}
}

// Guards against a row whose quantities shrink as its driver grows, for which bisection would find a wrong saturation.
func TestRowsGrowWithTheirDrivers(t *testing.T) {
	measurements, err := Parse(strings.NewReader(testOutput))
	if err != nil {
		t.Fatal(err)
	}
	scale := TargetScale()
	for i, row := range tableRows(scale) {
		is := is.New(t)
		larger := scale
		*larger.driverValue(row.driver) *= 2
		before, after := measurements.evaluateRow(row), measurements.evaluateRow(tableRows(larger)[i])
		is.True(after.wire.Value() >= before.wire.Value())     // bytes/s
		is.True(after.memory.Value() >= before.memory.Value()) // memory
		is.True(row.bottleneck != "" && row.nextMechanism != "" && row.mechanism != "")
	}
}
