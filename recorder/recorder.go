package recorder

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds the lines that wait to be written: some seconds of lines at full load.
	maxQueuedBytes = 1 << 20
	// writeGap is the time between two writes, so that one call of the system writes many lines.
	writeGap = 50 * time.Millisecond
)

// AsyncWriter is a writer that queues lines and never waits.
type AsyncWriter struct {
	output io.Writer
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	lines   bytes.Buffer
	dropped int64
	total   int64
}

// New returns a recorder that writes to output until it is closed.
func New(output io.Writer) *AsyncWriter {
	asyncWriter := &AsyncWriter{output: output, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(asyncWriter.done)
		for {
			select {
			case <-asyncWriter.stop:
				asyncWriter.flush()
				return
			case <-asyncWriter.wake:
				asyncWriter.flush()
			}
			select {
			case <-asyncWriter.stop:
			case <-time.After(writeGap):
			}
		}
	}()
	return asyncWriter
}

// Write queues a line, or drops and counts it if the queue is full; it never fails.
func (asyncWriter *AsyncWriter) Write(line []byte) (int, error) {
	asyncWriter.mu.Lock()
	if asyncWriter.lines.Len()+len(line) > maxQueuedBytes {
		asyncWriter.dropped++
		asyncWriter.total++
	} else {
		asyncWriter.lines.Write(line)
	}
	asyncWriter.mu.Unlock()
	select {
	case asyncWriter.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (asyncWriter *AsyncWriter) Dropped() int64 {
	asyncWriter.mu.Lock()
	defer asyncWriter.mu.Unlock()
	return asyncWriter.total
}

// Close writes what is queued and ends the recorder.
func (asyncWriter *AsyncWriter) Close() {
	close(asyncWriter.stop)
	<-asyncWriter.done
}

func (asyncWriter *AsyncWriter) flush() {
	asyncWriter.mu.Lock()
	lines := bytes.Clone(asyncWriter.lines.Bytes())
	asyncWriter.lines.Reset()
	dropped := asyncWriter.dropped
	asyncWriter.dropped = 0
	asyncWriter.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		// Standard output that cannot be written leaves nowhere to tell of it.
		_, _ = asyncWriter.output.Write(lines)
	}
}
