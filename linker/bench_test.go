package linker

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/keeper"
)

// mesh starts count nodes of one failure domain with links between all of them.
func mesh(tb testing.TB, count int) []*node {
	var nodes []*node
	for i := range count {
		nodes = append(nodes, startNode(tb, "local", fmt.Sprintf("entry-%02d", i), DefaultLimits()))
	}
	join(tb, nodes...)
	return nodes
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure reports wire bytes, frames and CPU time per message, summed over all nodes.
func measure(b *testing.B, nodes []*node, perRound int, round func()) {
	bytesBefore, framesBefore := sent(nodes)
	cpu := cpuTime(b)
	for b.Loop() {
		round()
	}
	messages := float64(b.N * perRound)
	cpu = cpuTime(b) - cpu
	bytesAfter, framesAfter := sent(nodes)
	b.ReportMetric(float64(bytesAfter-bytesBefore)/messages, "B/message")
	b.ReportMetric(float64(framesAfter-framesBefore)/messages, "frames/message")
	b.ReportMetric(float64(cpu.Nanoseconds())/messages, "cpu-ns/message")
}

func sent(nodes []*node) (bytes, frames int64) {
	for _, node := range nodes {
		bytes += node.Traffic().BytesSent()
		frames += node.Traffic().FramesSent()
	}
	return bytes, frames
}

func others(nodes []*node, self *node) []string {
	var incarnations []string
	for _, node := range nodes {
		if node != self {
			incarnations = append(incarnations, node.self.Incarnation)
		}
	}
	return incarnations
}

// BenchmarkHeartbeat sends one heartbeat from every instance to every other one per round. A message is one heartbeat
// to one peer, sent and received.
func BenchmarkHeartbeat(b *testing.B) {
	for _, count := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("peers=%d", count), func(b *testing.B) {
			nodes := mesh(b, count)
			heartbeat := Heartbeat{View: 123456, BundleVersion: 4711, BundleOffset: 9000, Load: 800, Synced: true}
			measure(b, nodes, count*(count-1), func() {
				for _, node := range nodes {
					node.Broadcast(others(nodes, node), heartbeat)
				}
				for _, node := range nodes {
					for range count - 1 {
						<-node.messages
					}
				}
			})
		})
	}
}

// BenchmarkRecord sends a start record to one witness and its acknowledgement back, 64 at a time per instance.
func BenchmarkRecord(b *testing.B) {
	const batch = 64
	for _, count := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("peers=%d", count), func(b *testing.B) {
			nodes := mesh(b, count)
			record := keeper.Record{Key: "~hanoi-a.123456.42.order-0123456789abcdef", Digest: dispatcher.Digest{1}, View: 123456, State: keeper.StatePending, Sequence: 1 << 20}
			ack := keeper.RecordAck{Key: record.Key, View: record.View, Sequence: record.Sequence}
			exchange := func(message func(int) Message) {
				for i, node := range nodes {
					for j := range batch {
						peer := nodes[(i+1+j%(count-1))%count]
						if err := node.Send(peer.self.Incarnation, message(j)); err != nil {
							b.Fatal(err)
						}
					}
				}
				for _, node := range nodes {
					for range batch {
						<-node.messages
					}
				}
			}
			measure(b, nodes, 2*batch*count, func() {
				exchange(func(int) Message { return KeeperMessage{record} })
				exchange(func(int) Message { return KeeperMessage{ack} })
			})
		})
	}
}
