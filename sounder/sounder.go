package sounder

import (
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// rounds is how many times a sounding passes through the pipe. The first time, its end may be read before the connections
// that were polled with it; their readers have run by the second.
const rounds = 2

// Sounder measures how late this process reads what has arrived.
type Sounder struct {
	reader *os.File
	writer *os.File
	now    func() time.Time
	group  sync.WaitGroup

	mu sync.Mutex
	// startedAt is when the sounding under way began; zero if none is.
	startedAt time.Time
	readUntil time.Time
}

// New returns a sounder, or an error if no pipe can be opened; now returns the current time. It calls finished after each
// sounding.
func New(now func() time.Time, finished func()) (*Sounder, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, eris.Wrap(err, "opening a pipe")
	}
	sounder := &Sounder{reader: reader, writer: writer, now: now, readUntil: now()}
	sounder.group.Go(func() {
		buffer := make([]byte, 1)
		for {
			for round := range rounds {
				if round > 0 {
					if _, err := writer.Write(buffer); err != nil {
						return // closed
					}
				}
				if _, err := reader.Read(buffer); err != nil {
					return // closed
				}
			}
			sounder.finish()
			finished()
		}
	})
	return sounder, nil
}

// Start begins a sounding unless one is under way.
func (sounder *Sounder) Start() {
	sounder.mu.Lock()
	defer sounder.mu.Unlock()
	if !sounder.startedAt.IsZero() {
		return
	}
	startedAt := sounder.now()
	// The pipe is empty, so that this does not block; it fails only after Close.
	if _, err := sounder.writer.Write(make([]byte, 1)); err == nil {
		sounder.startedAt = startedAt
	}
}

func (sounder *Sounder) finish() {
	sounder.mu.Lock()
	defer sounder.mu.Unlock()
	sounder.readUntil, sounder.startedAt = sounder.startedAt, time.Time{}
}

// ReadUntil returns the time up to which everything that had arrived has been read, as far as known: the start of the last
// sounding that has finished.
func (sounder *Sounder) ReadUntil() time.Time {
	sounder.mu.Lock()
	defer sounder.mu.Unlock()
	return sounder.readUntil
}

// Close ends a sounding that is under way.
func (sounder *Sounder) Close() {
	_ = sounder.writer.Close()
	_ = sounder.reader.Close()
	sounder.group.Wait()
}
