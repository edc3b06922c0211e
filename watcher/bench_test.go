package watcher

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// BenchmarkSecond is one second of an instance: its own heartbeat, those of all peers, and the question for a view.
// The bytes are JSON; the links between instances use CBOR, which needs no quotes around names of fixed fields.
func BenchmarkSecond(b *testing.B) {
	for _, peers := range []int{3, 9, 27} {
		for _, suspects := range []int{0, peers} {
			b.Run(fmt.Sprintf("peers=%d/suspects=%d", peers, suspects), func(b *testing.B) {
				now := time.Unix(1_800_000_000, 0)
				members := make([]Member, peers+1)
				var incarnations []Incarnation
				for i := range members {
					members[i] = Member{
						Name:        fmt.Sprintf("entry-%02d", i),
						Incarnation: Incarnation(fmt.Sprintf("5fbe7950-f9d7-4b00-86f2-191d0568f%03d", i)),
						Address:     fmt.Sprintf("10.0.0.%d:8480", i),
					}
					if i > 0 && len(incarnations) < suspects {
						incarnations = append(incarnations, members[i].Incarnation)
					}
				}
				watcher := New(members[0], now)
				watcher.SetView(View{Number: 1, Members: members}, now)
				bytes := 0
				b.ReportAllocs()
				b.ResetTimer()
				for b.Loop() {
					now = now.Add(HeartbeatInterval)
					own := watcher.Heartbeat(now)
					own.Suspects = incarnations
					data, err := json.Marshal(own)
					if err != nil {
						b.Fatal(err)
					}
					bytes = len(data)
					for _, peer := range members[1:] {
						watcher.ReceiveHeartbeat(Heartbeat{From: peer, View: 1, Suspects: incarnations}, now)
					}
					watcher.Propose(now)
				}
				b.ReportMetric(float64(bytes), "B/heartbeat")
			})
		}
	}
}
