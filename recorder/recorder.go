package recorder

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds the queued lines. It holds several seconds of log lines at full load.
	maxQueuedBytes = 1 << 20
	// flushInterval is the minimum time between two writes, so that one system call writes many lines.
	flushInterval = 50 * time.Millisecond
)

// AsyncWriter is an io.Writer that queues lines and writes them in the background, so that Write never blocks.
type AsyncWriter struct {
	output         io.Writer
	flushRequested chan struct{}
	closing        chan struct{}
	done           chan struct{}

	mu              sync.Mutex
	queued          bytes.Buffer
	unreportedDrops int64
	totalDrops      int64
}

// New returns a writer that forwards its lines to output until it is closed.
func New(output io.Writer) *AsyncWriter {
	asyncWriter := &AsyncWriter{output: output, flushRequested: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(asyncWriter.done)
		for {
			select {
			case <-asyncWriter.closing:
				asyncWriter.flush()
				return
			case <-asyncWriter.flushRequested:
				asyncWriter.flush()
			}
			select {
			case <-asyncWriter.closing:
			case <-time.After(flushInterval):
			}
		}
	}()
	return asyncWriter
}

// Write queues a line. If the queue is full, it drops and counts the line. It never returns an error.
func (asyncWriter *AsyncWriter) Write(line []byte) (int, error) {
	asyncWriter.mu.Lock()
	if asyncWriter.queued.Len()+len(line) > maxQueuedBytes {
		asyncWriter.unreportedDrops++
		asyncWriter.totalDrops++
	} else {
		asyncWriter.queued.Write(line)
	}
	asyncWriter.mu.Unlock()
	select {
	case asyncWriter.flushRequested <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since New.
func (asyncWriter *AsyncWriter) Dropped() int64 {
	asyncWriter.mu.Lock()
	defer asyncWriter.mu.Unlock()
	return asyncWriter.totalDrops
}

// Close writes the queued lines and stops the background writer.
func (asyncWriter *AsyncWriter) Close() {
	close(asyncWriter.closing)
	<-asyncWriter.done
}

func (asyncWriter *AsyncWriter) flush() {
	asyncWriter.mu.Lock()
	queued := bytes.Clone(asyncWriter.queued.Bytes())
	asyncWriter.queued.Reset()
	unreportedDrops := asyncWriter.unreportedDrops
	asyncWriter.unreportedDrops = 0
	asyncWriter.mu.Unlock()
	if unreportedDrops > 0 {
		queued = fmt.Appendf(queued, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d}\n", unreportedDrops)
	}
	if len(queued) > 0 {
		// The output is the log itself, so a write error cannot be reported anywhere.
		_, _ = asyncWriter.output.Write(queued)
	}
}
