package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// ms returns the milliseconds from the beginning of the record until at.
func (record *record) ms(at time.Time) int64 { return at.Sub(record.began).Milliseconds() }

// line writes a line with the present time.
func (record *record) line(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.file, "%9.3f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (record *record) say(format string, args ...any) {
	record.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
