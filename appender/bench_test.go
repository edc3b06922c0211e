package appender_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/emulator"
)

func cpuNanoseconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchLog returns a client of an emulated log. The log runs in the same process, so the measured CPU time and
// allocations include its work.
func benchLog(b *testing.B) (*appender.Appender, *emulator.Log) {
	log := emulator.NewLog()
	server := httptest.NewServer(log)
	b.Cleanup(server.Close)
	return appender.New(strings.TrimPrefix(server.URL, "http://")), log
}

func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{100, 10_000, 3_000_000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			client, log := benchLog(b)
			data := bytes.Repeat([]byte("x"), size)
			b.ReportAllocs()
			before := cpuNanoseconds()
			for b.Loop() {
				offset, err := client.Append(context.Background(), "bench", data)
				if err != nil {
					b.Fatal(err)
				}
				log.Trim("bench", offset)
			}
			b.ReportMetric((cpuNanoseconds()-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

func BenchmarkRead(b *testing.B) {
	for _, size := range []int{100, 10_000, 3_000_000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			client, log := benchLog(b)
			log.Append("bench", bytes.Repeat([]byte("x"), size))
			b.ReportAllocs()
			before := cpuNanoseconds()
			for b.Loop() {
				page, err := client.Read(context.Background(), "bench", 0, time.Second)
				if err != nil || len(page.Records) != 1 {
					b.Fatal(len(page.Records), err)
				}
			}
			b.ReportMetric((cpuNanoseconds()-before)/float64(b.N), "cpu-ns/op")
		})
	}
}
