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

// Recorder is a writer that queues lines and never waits.
type Recorder struct {
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
func New(output io.Writer) *Recorder {
	recorder := &Recorder{output: output, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(recorder.done)
		for {
			select {
			case <-recorder.stop:
				recorder.flush()
				return
			case <-recorder.wake:
				recorder.flush()
			}
			select {
			case <-recorder.stop:
			case <-time.After(writeGap):
			}
		}
	}()
	return recorder
}

// Write queues a line, or drops and counts it if the queue is full; it never fails.
func (recorder *Recorder) Write(line []byte) (int, error) {
	recorder.mu.Lock()
	if recorder.lines.Len()+len(line) > maxQueuedBytes {
		recorder.dropped++
		recorder.total++
	} else {
		recorder.lines.Write(line)
	}
	recorder.mu.Unlock()
	select {
	case recorder.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (recorder *Recorder) Dropped() int64 {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.total
}

// Close writes what is queued and ends the recorder.
func (recorder *Recorder) Close() {
	close(recorder.stop)
	<-recorder.done
}

func (recorder *Recorder) flush() {
	recorder.mu.Lock()
	lines := bytes.Clone(recorder.lines.Bytes())
	recorder.lines.Reset()
	dropped := recorder.dropped
	recorder.dropped = 0
	recorder.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		// Standard output that cannot be written leaves nowhere to tell of it.
		_, _ = recorder.output.Write(lines)
	}
}
