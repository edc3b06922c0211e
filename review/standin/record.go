package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with times since its start.
type record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	writer *bufio.Writer
	broken int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// note adds a line.
func (record *record) note(format string, values ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.writer, "%9.3f  ", time.Since(record.start).Seconds())
	fmt.Fprintf(record.writer, format+"\n", values...)
}

// breakRule adds a line for a broken rule.
func (record *record) breakRule(rule, format string, values ...any) {
	record.mu.Lock()
	record.broken++
	record.mu.Unlock()
	record.note("BROKEN "+rule+": "+format, values...)
}

// seconds returns a time as it stands in the record.
func (record *record) seconds(at time.Time) float64 { return at.Sub(record.start).Seconds() }

func (record *record) breaks() int {
	record.mu.Lock()
	defer record.mu.Unlock()
	return record.broken
}

func (record *record) close() {
	record.mu.Lock()
	defer record.mu.Unlock()
	_ = record.writer.Flush()
	_ = record.file.Close()
}
