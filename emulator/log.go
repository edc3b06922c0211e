package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/appender"
)

// LogFault is a fault that the emulated log injects.
type LogFault string

// Faults of the emulated log.
const (
	// LogHealthy injects no fault.
	LogHealthy LogFault = "healthy"
	// LogDown answers every request with 503.
	LogDown LogFault = "down"
	// LogSlow delays every request by two seconds.
	LogSlow LogFault = "slow"
	// LogLosesResponses stores appended records and closes the connection without a response.
	LogLosesResponses LogFault = "loses-answers"
)

const slowLogDelay = 2 * time.Second

// Limits of one page of a read. A page holds at least one record, even if it exceeds maxPageBytes.
const (
	maxPageRecords = 1000
	maxPageBytes   = 8 << 20
)

type logStream struct {
	earliest int64
	records  []appender.Record
	changed  chan struct{}
}

func (stream *logStream) next() int64 { return stream.earliest + int64(len(stream.records)) }

// Log emulates the platform's append-only log in memory.
type Log struct {
	mux *http.ServeMux

	mu      sync.Mutex
	streams map[string]*logStream
	fault   LogFault
}

// NewLog returns an empty, healthy log.
func NewLog() *Log {
	log := &Log{mux: http.NewServeMux(), streams: make(map[string]*logStream), fault: LogHealthy}
	log.mux.HandleFunc("POST /streams/{stream}/records", log.handleAppend)
	log.mux.HandleFunc("GET /streams/{stream}/records", log.handleRead)
	log.mux.HandleFunc("PUT /fault/{fault}", log.handleFault)
	log.mux.HandleFunc("PUT /streams/{stream}/earliest/{offset}", log.handleTrim)
	return log
}

// ServeHTTP serves appends and reads, and requests that trim a stream or inject a fault.
func (log *Log) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	log.mux.ServeHTTP(writer, request)
}

// SetFault sets the fault that the log injects.
func (log *Log) SetFault(fault LogFault) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.fault = fault
}

// Append appends data to the named stream, regardless of the fault, and returns its offset.
func (log *Log) Append(name string, data []byte) int64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	stream := log.stream(name)
	offset := stream.next()
	stream.records = append(stream.records, appender.Record{Offset: offset, Data: data})
	close(stream.changed)
	stream.changed = make(chan struct{})
	return offset
}

// Trim drops the records of the named stream below offset.
func (log *Log) Trim(name string, offset int64) {
	log.mu.Lock()
	defer log.mu.Unlock()
	stream := log.stream(name)
	count := min(max(offset-stream.earliest, 0), int64(len(stream.records)))
	stream.records = stream.records[count:]
	stream.earliest += count
}

// stream returns the named stream and creates it if it does not exist. The caller holds log.mu.
func (log *Log) stream(name string) *logStream {
	stream := log.streams[name]
	if stream == nil {
		stream = &logStream{changed: make(chan struct{})}
		log.streams[name] = stream
	}
	return stream
}

func (log *Log) handleAppend(writer http.ResponseWriter, request *http.Request) {
	fault, ok := log.applyFault(writer, request)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, appender.MaxResponseBytes))
	if err != nil {
		http.Error(writer, "body is too large or was cut", http.StatusBadRequest)
		return
	}
	offset := log.Append(request.PathValue("stream"), data)
	if fault == LogLosesResponses {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(writer).Encode(appender.AppendResponse{Offset: offset})
}

func (log *Log) handleRead(writer http.ResponseWriter, request *http.Request) {
	if _, ok := log.applyFault(writer, request); !ok {
		return
	}
	from, err := strconv.ParseInt(request.FormValue("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(writer, "from is not an offset", http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.ParseInt(request.FormValue("wait-ms"), 10, 64)
	limit, err := strconv.ParseInt(request.FormValue("max-bytes"), 10, 64)
	if err != nil || limit <= 0 || limit > maxPageBytes {
		limit = maxPageBytes
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		page, changed := log.page(request.PathValue("stream"), from, limit)
		if len(page.Records) > 0 || waitMS <= 0 {
			_ = json.NewEncoder(writer).Encode(page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waitMS = 0
		case <-request.Context().Done():
			return
		}
	}
}

// page returns the records of the named stream from offset from on, as many as fit in limit bytes but at least one if
// there is any, and a channel that is closed when the stream grows.
func (log *Log) page(name string, from, limit int64) (appender.Page, <-chan struct{}) {
	log.mu.Lock()
	defer log.mu.Unlock()
	stream := log.stream(name)
	page := appender.Page{Earliest: stream.earliest, Next: stream.next()}
	if start := max(from-stream.earliest, 0); start < int64(len(stream.records)) {
		end := min(start+maxPageRecords, int64(len(stream.records)))
		for _, record := range stream.records[start:end] {
			limit -= int64(len(record.Data))
			if len(page.Records) > 0 && limit < 0 {
				break
			}
			page.Records = append(page.Records, record)
		}
	}
	return page, stream.changed
}

func (log *Log) handleFault(writer http.ResponseWriter, request *http.Request) {
	switch fault := LogFault(request.PathValue("fault")); fault {
	case LogHealthy, LogDown, LogSlow, LogLosesResponses:
		log.SetFault(fault)
		writer.WriteHeader(http.StatusNoContent)
	default:
		http.Error(writer, "unknown fault", http.StatusBadRequest)
	}
}

func (log *Log) handleTrim(writer http.ResponseWriter, request *http.Request) {
	offset, err := strconv.ParseInt(request.PathValue("offset"), 10, 64)
	if err != nil {
		http.Error(writer, "offset is not a number", http.StatusBadRequest)
		return
	}
	log.Trim(request.PathValue("stream"), offset)
	writer.WriteHeader(http.StatusNoContent)
}

// applyFault rejects the request if the log is down and delays it if the log is slow. It returns the fault, and false
// if the request must not be handled further.
func (log *Log) applyFault(writer http.ResponseWriter, request *http.Request) (LogFault, bool) {
	log.mu.Lock()
	fault := log.fault
	log.mu.Unlock()
	switch fault {
	case LogDown:
		http.Error(writer, "the log is down", http.StatusServiceUnavailable)
		return fault, false
	case LogSlow:
		select {
		case <-time.After(slowLogDelay):
		case <-request.Context().Done():
			return fault, false
		}
	}
	return fault, true
}
