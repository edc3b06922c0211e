package recorder

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	mu           sync.Mutex
	text         bytes.Buffer
	writeStarted chan struct{}
	unblock      chan struct{}
	once         sync.Once
}

func (writer *blockedWriter) Write(data []byte) (int, error) {
	writer.once.Do(func() { close(writer.writeStarted) })
	<-writer.unblock
	writer.mu.Lock()
	defer writer.mu.Unlock()
	return writer.text.Write(data)
}

// Guards against Write blocking on a slow log reader, and against lines dropped without a report in the log.
func TestFullQueueDropsAndReportsLines(t *testing.T) {
	is := is.New(t)
	output := &blockedWriter{writeStarted: make(chan struct{}), unblock: make(chan struct{})}
	asyncWriter := New(output)
	line := append(bytes.Repeat([]byte("x"), 1023), '\n')
	write := func() {
		count, err := asyncWriter.Write(line)
		is.NoErr(err)
		is.Equal(count, len(line))
	}
	write()
	<-output.writeStarted
	for range maxQueuedBytes/len(line) + 5 {
		write()
	}
	is.Equal(asyncWriter.Dropped(), int64(5))
	close(output.unblock)
	asyncWriter.Close()
	is.True(strings.HasSuffix(output.text.String(), "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":5}\n"))
	is.Equal(strings.Count(output.text.String(), "x\n"), maxQueuedBytes/len(line)+1)
}
