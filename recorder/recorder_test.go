package recorder

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter does not return from its first write until it is released.
type blockedWriter struct {
	mu       sync.Mutex
	text     bytes.Buffer
	entered  chan struct{}
	released chan struct{}
	once     sync.Once
}

func (writer *blockedWriter) Write(data []byte) (int, error) {
	writer.once.Do(func() { close(writer.entered) })
	<-writer.released
	writer.mu.Lock()
	defer writer.mu.Unlock()
	return writer.text.Write(data)
}

// Guards against work that waits for a reader of the log, and against lines that go missing without a word.
func TestFullQueueDropsAndTells(t *testing.T) {
	is := is.New(t)
	output := &blockedWriter{entered: make(chan struct{}), released: make(chan struct{})}
	asyncWriter := New(output)
	line := append(bytes.Repeat([]byte("x"), 1023), '\n')
	write := func() {
		count, err := asyncWriter.Write(line)
		is.NoErr(err)
		is.Equal(count, len(line))
	}
	write()
	<-output.entered
	for range maxQueuedBytes/len(line) + 5 {
		write()
	}
	is.Equal(asyncWriter.Dropped(), int64(5))
	close(output.released)
	asyncWriter.Close()
	is.True(strings.HasSuffix(output.text.String(), "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":5}\n"))
	is.Equal(strings.Count(output.text.String(), "x\n"), maxQueuedBytes/len(line)+1)
}
