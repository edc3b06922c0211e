package router

import (
	"fmt"
	"testing"
	"time"
	"unsafe"
)

// snapshot returns count targets with the given number of slots.
func snapshot(count, slots int) []Target {
	targets := make([]Target, count)
	for i := range targets {
		targets[i] = NewTarget(fmt.Sprintf("runner-%05d", i), "127.0.0.1:1", slots, false)
	}
	return targets
}

// BenchmarkDecision measures one Pick and one Done with half of the slots in use.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{50, 500, 2000, 22000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			router := New(Config{Seed: 1})
			now := time.Unix(1000, 0)
			router.Update(snapshot(count, 8), now)
			ring := make([]Choice, count*4)
			for i := range ring {
				ring[i], _ = router.Pick("check", now)
			}
			cells := len(router.kinds) * int(unsafe.Sizeof(targetKindStats{}))
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(20 * time.Microsecond)
				router.Done(ring[i], Finished{runTime: time.Duration(100+i%300) * time.Millisecond}, now)
				choice, ok := router.Pick("check", now)
				if !ok {
					b.Fatal("no target has free capacity")
				}
				ring[i] = choice
				i = (i + 1) % len(ring)
			}
			b.ReportMetric(float64(int(unsafe.Sizeof(target{}))+cells), "B/target")
		})
	}
}
