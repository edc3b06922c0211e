package bundler

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// sizes holds the numbers of targets that the benchmarks run with.
var sizes = []int{50, 500, 5_000, 22_000}

// largeText returns a bundle with the given number of targets in 27 failure domains, 12 kinds and 120 teams.
func largeText(version int64, targets int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[bundle]\nversion = %d\n", version)
	for i := range 27 {
		fmt.Fprintf(&text, "[failure-domain domain-%02d]\n", i)
	}
	for i := range targets {
		fmt.Fprintf(&text, "[target worker-%05d]\nfailure-domain = domain-%02d\nservice = loops\naddress = 10.%d.%d.%d:8080\nslots = 8\n",
			i, i%27, i>>16, i>>8&255, i&255)
	}
	for i := range 12 {
		fmt.Fprintf(&text, "[kind kind-%02d]\nservice = loops\nrepeatable = true\n[objective kind-%02d]\nwithin-ms = 500\ntarget-percent = 99.5\n", i, i)
	}
	for i := range 120 {
		fmt.Fprintf(&text, "[team team-%03d]\nmax-in-flight = %d\n", i, 100+i+int(version))
	}
	return text.String()
}

func eachSize(b *testing.B, run func(b *testing.B, text string)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			text := largeText(1, size)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, text)
		})
	}
}

func heldBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func BenchmarkParse(b *testing.B) {
	eachSize(b, func(b *testing.B, text string) {
		data := []byte(text)
		before := heldBytes()
		b.ResetTimer()
		var bundle *Bundle
		for b.Loop() {
			bundle, _ = Parse(data)
		}
		b.ReportMetric(float64(heldBytes()-before), "held-B")
		b.ReportMetric(float64(len(data)), "text-B")
		b.ReportMetric(float64(len(encode(signed(text, 0)))), "record-B")
		runtime.KeepAlive(bundle)
		runtime.KeepAlive(data)
	})
}

func BenchmarkLint(b *testing.B) {
	eachSize(b, func(b *testing.B, text string) {
		bundle := mustParse(b, text)
		for b.Loop() {
			Lint(bundle, nil)
		}
	})
}

// BenchmarkVerify verifies the two signatures of a bundle.
func BenchmarkVerify(b *testing.B) {
	eachSize(b, func(b *testing.B, text string) {
		record := signed(text, 0)
		for b.Loop() {
			if testKeys.Verify("linh", RoleAuthor, text, record.Signatures.Author) != nil ||
				testKeys.Verify("asha", RoleApprover, text, record.Signatures.Approver) != nil {
				b.Fatal("a signature does not match")
			}
		}
	})
}

func BenchmarkDiff(b *testing.B) {
	eachSize(b, func(b *testing.B, text string) {
		before, after := mustParse(b, text), mustParse(b, strings.Replace(text, "slots = 8", "slots = 9", 1))
		for b.Loop() {
			Diff(before, after)
		}
	})
}

// BenchmarkFold applies one change: it decodes, verifies, parses and lints a record.
func BenchmarkFold(b *testing.B) {
	eachSize(b, func(b *testing.B, text string) {
		bundler := New(testKeys)
		bundler.ApplyPage(page(0, signed(text, noOffset)), start)
		data := encode(signed(largeText(2, strings.Count(text, "[target")), 0))
		b.ResetTimer()
		for b.Loop() {
			next := New(testKeys)
			next.current, next.unreplacedThrough, next.next = bundler.current, 0, 1
			next.ApplyPage(Page{Next: 2, Entries: []Entry{{Offset: 1, Data: data}}}, start)
			if next.Snapshot().Bundle().Version() != 2 {
				b.Fatal("the change is not in force")
			}
		}
	})
}

// BenchmarkParts applies one change to the common part, or to one of the 27 parts, of a split bundle.
func BenchmarkParts(b *testing.B) {
	for _, size := range sizes {
		var common, part strings.Builder
		fmt.Fprint(&part, "[bundle]\nversion = 1\npart = domain-00\n")
		for chunk := range strings.SplitAfterSeq(strings.ReplaceAll(largeText(1, size), "\n[", "\n\x00["), "\x00") {
			chunk = strings.TrimSuffix(chunk, "\x00")
			switch {
			case strings.Contains(chunk, "failure-domain = domain-00"):
				part.WriteString(chunk)
			case strings.HasPrefix(chunk, "[failure-domain"):
				common.WriteString(chunk + "split = true\n")
			case !strings.HasPrefix(chunk, "[target"):
				common.WriteString(chunk)
			}
		}
		for _, text := range []struct{ name, text, part string }{{"common", common.String(), ""}, {"part", part.String(), "domain-00"}} {
			b.Run(fmt.Sprintf("targets=%d/%s", size, text.name), func(b *testing.B) {
				data := encode(signed(text.text, noOffset))
				b.ReportAllocs()
				b.ResetTimer()
				for b.Loop() {
					composer := NewComposer(testKeys, "domain-00")
					bundlers := composer.Bundlers()
					changed := bundlers[0]
					if text.part != "" {
						changed = bundlers[1]
					}
					changed.ApplyPage(Page{Next: 1, Entries: []Entry{{Data: data}}}, start)
					if changed.Snapshot() == nil {
						b.Fatal("the change is not in force")
					}
				}
				b.ReportMetric(float64(len(data)), "record-B")
			})
		}
	}
}

// BenchmarkDay applies the 9,500 changes of one day at the target scale to a bundle with 50 targets.
func BenchmarkDay(b *testing.B) {
	const changes = 9_500
	entries := make([]Entry, changes)
	bytes := 0
	for i := range entries {
		entries[i] = Entry{Offset: int64(i), Data: encode(signed(largeText(int64(i+1), 50), int64(i)-1))}
		bytes += len(entries[i].Data)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		bundler := New(testKeys)
		bundler.ApplyPage(Page{Next: changes, Entries: entries}, start)
		if bundler.Snapshot().Bundle().Version() != changes {
			b.Fatal("the last change is not in force")
		}
	}
	b.ReportMetric(float64(bytes)/changes, "record-B")
}
