package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: keyed topics with one partition each.
type store struct {
	record *record

	mu     sync.Mutex
	topics map[string]*topic
	// appendFate decides what happens to an append of an instance; nil answers all of them. The append is carried out
	// after delay, and its response is lost if lost is set.
	appendFate func(topic, key string, value []byte) (lost bool, delay time.Duration)
	// refuse answers a call with 503 if it returns true.
	refuse func(path, topic string) bool
}

type topic struct {
	records [][]byte
	newest  map[string]storeRecord
	changed chan struct{}
}

type storeRecord struct {
	value  []byte
	offset int64
}

func newStore(record *record) *store {
	return &store{record: record, topics: make(map[string]*topic)}
}

func (store *store) topic(name string) *topic {
	known, ok := store.topics[name]
	if !ok {
		known = &topic{newest: make(map[string]storeRecord), changed: make(chan struct{})}
		store.topics[name] = known
	}
	return known
}

// put appends a keyed record; an empty value drops the key.
func (store *store) put(name, key string, value []byte) int64 {
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(name)
	content := append([]byte{byte(len(key))}, key...)
	content = append(content, value...)
	offset := int64(len(topic.records))
	topic.records = append(topic.records, content)
	if len(value) == 0 {
		delete(topic.newest, key)
	} else {
		topic.newest[key] = storeRecord{value, offset}
	}
	close(topic.changed)
	topic.changed = make(chan struct{})
	return offset
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	name := query.Get("topic")
	store.mu.Lock()
	refuse := store.refuse
	store.mu.Unlock()
	if refuse != nil && refuse(request.URL.Path, name) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch strings.TrimPrefix(request.URL.Path, "/hyssoplift/") {
	case "log-append":
		store.serveAppend(writer, request, name)
	case "log-read":
		store.serveRead(writer, request, name)
	case "log-newest":
		store.serveNewest(writer, request, name)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) serveAppend(writer http.ResponseWriter, request *http.Request, name string) {
	body, err := io.ReadAll(request.Body)
	if err != nil || len(body) < 5 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	content := body[4:]
	length := int(content[0])
	key, value := string(content[1:1+length]), content[1+length:]
	store.mu.Lock()
	fate := store.appendFate
	store.mu.Unlock()
	lost, delay := false, time.Duration(0)
	if fate != nil {
		lost, delay = fate(name, key, value)
	}
	kind := "record"
	if len(value) == 0 {
		kind = "deletion"
	}
	if lost {
		store.record.line("store: append to %s, key %s (%s): no response, carried out %.1f s later", name, key, kind, delay.Seconds())
		time.AfterFunc(delay, func() {
			store.put(name, key, value)
			store.record.line("store: append to %s, key %s (%s): carried out now", name, key, kind)
		})
		// The channel returns nothing further.
		<-request.Context().Done()
		return
	}
	offset := store.put(name, key, value)
	store.record.line("store: append to %s, key %s (%s): done, 200", name, key, kind)
	writeJSON(writer, http.StatusOK, map[string]any{"offset": offset, "end": offset + 1})
}

func (store *store) serveRead(writer http.ResponseWriter, request *http.Request, name string) {
	query := request.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mu.Lock()
		topic := store.topic(name)
		end, changed := int64(len(topic.records)), topic.changed
		if end > from || wait == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, content := range topic.records[min(from, end):] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(content)))
				body = append(body, content...)
			}
			store.mu.Unlock()
			_, _ = writer.Write(body)
			return
		}
		store.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-request.Context().Done():
			return
		}
	}
}

func (store *store) serveNewest(writer http.ResponseWriter, request *http.Request, name string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(name)
	items := []map[string]any{}
	keys := make([]string, 0, len(topic.newest))
	for key := range topic.newest {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		known := topic.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(known.value), "offset": known.offset})
	}
	writeJSON(writer, http.StatusOK, map[string]any{"items": items, "hasMore": false, "end": len(topic.records)})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}
