package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
	begun  time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), begun: time.Now()}, nil
}

func (record *record) line(format string, values ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.writer, "%8.3f s  %s\n", time.Since(record.begun).Seconds(), fmt.Sprintf(format, values...))
}

func (record *record) close() {
	record.mu.Lock()
	defer record.mu.Unlock()
	_ = record.writer.Flush()
	_ = record.file.Close()
}
