package bundler

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// benchBundle returns a bundle with 27 failure domains, 120 teams, 40 kinds and the given number of targets.
func benchBundle(targets int) []byte {
	var text strings.Builder
	text.WriteString("[bundle]\nversion = 1\n")
	for i := range 27 {
		fmt.Fprintf(&text, "[failure-domain domain-%02d]\n", i)
	}
	for i := range 120 {
		fmt.Fprintf(&text, "[team team-%03d]\nmax-in-flight = 1000\n", i)
	}
	for i := range 40 {
		fmt.Fprintf(&text, "[kind kind-%02d]\nservice = service-%d\nrepeatable = true\nrun-ms = 200\n", i, i%10)
	}
	for i := range targets {
		fmt.Fprintf(&text, "[target worker-%05d]\nfailure-domain = domain-%02d\nservice = service-%d\naddress = 10.%d.%d.%d:8480\nslots = 32\n",
			i, i%27, i%10, i>>16, i>>8&255, i&255)
	}
	return []byte(text.String())
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func BenchmarkParse(b *testing.B) {
	for _, targets := range []int{50, 500, 5_000, 22_000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			text := benchBundle(targets)
			before := heapBytes()
			b.ReportAllocs()
			var bundle *Bundle
			for b.Loop() {
				var err error
				if bundle, err = Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(heapBytes()-before, "held-B")
			b.ReportMetric(float64(len(text)), "record-B")
			runtime.KeepAlive(bundle)
		})
	}
}
