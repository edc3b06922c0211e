package starter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

const benchPayload = `{"loop":"floor-2/room-17/loop-3","supply-c":38.5,"return-c":31.2,"flow-l-min":2.4,"manifold":"m-4"}`

// serveFixed responds to each request that ends in benchPayload with a fixed result and counts bytes in both
// directions. It parses nothing, so that the target's share of the measured CPU time is little more than its system
// calls.
func serveFixed(b *testing.B, traffic *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(benchPayload), benchPayload)
	serve := func(connection net.Conn) {
		defer connection.Close()
		buffer := make([]byte, 4096)
		for filled := 0; ; {
			n, err := connection.Read(buffer[filled:])
			if err != nil {
				return
			}
			if filled += n; !bytes.HasSuffix(buffer[:filled], []byte(benchPayload)) {
				continue
			}
			traffic.Add(int64(filled + len(answer)))
			filled = 0
			if _, err := connection.Write(answer); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
	return listener.Addr().String()
}

// cpuNanoseconds returns the user and system CPU time of the process; wall time says little about work over sockets.
func cpuNanoseconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkStart(b *testing.B) {
	for _, count := range []int{1, 10, 130} {
		b.Run(fmt.Sprintf("tasks=%d", count), func(b *testing.B) {
			var traffic atomic.Int64
			// Jobs are spread over several targets, so that the 60 connections per target suffice.
			addresses := []string{serveFixed(b, &traffic), serveFixed(b, &traffic), serveFixed(b, &traffic)}
			starter := New()
			task := dispatcher.NewTask("task", json.RawMessage(benchPayload))
			b.ReportAllocs()
			before := cpuNanoseconds()
			for b.Loop() {
				var group sync.WaitGroup
				for i := range count {
					group.Go(func() {
						if result, ok := starter.Start(context.Background(), addresses[i%len(addresses)], "loop-check", "", task).(Success); !ok {
							b.Errorf("start did not succeed: %v", result)
						}
					})
				}
				group.Wait()
			}
			b.ReportMetric((cpuNanoseconds()-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(traffic.Load())/float64(b.N), "wire-B/op")
		})
	}
}
