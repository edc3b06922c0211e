package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// appendTime is how long an append takes (appendMs).
const appendTime = 4 * time.Millisecond

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// topic is a keyed topic with one partition.
type topic struct {
	records [][]byte
	newest  map[string]item
	changed chan struct{}
}

// store stands in for the platform's store: keyed topics with one partition.
type store struct {
	record  *record
	address string

	mu     sync.Mutex
	topics map[string]*topic
}

func startStore(record *record, address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	started := &store{record: record, address: listener.Addr().String(), topics: make(map[string]*topic)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hyssoplift/log-append", started.append)
	mux.HandleFunc("GET /hyssoplift/log-read", started.read)
	mux.HandleFunc("GET /hyssoplift/log-newest", started.newest)
	go func() { _ = http.Serve(listener, mux) }()
	return started, nil
}

// topic returns a topic; the caller holds the lock.
func (store *store) topic(name string) *topic {
	known, ok := store.topics[name]
	if !ok {
		known = &topic{newest: make(map[string]item), changed: make(chan struct{})}
		store.topics[name] = known
	}
	return known
}

// put appends a record; without a value, the key is dropped.
func (store *store) put(name, key string, value []byte) int64 {
	content := append([]byte{byte(len(key))}, key...)
	content = append(content, value...)
	framed := binary.BigEndian.AppendUint32(nil, uint32(len(content)))
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(name)
	offset := int64(len(topic.records))
	topic.records = append(topic.records, append(framed, content...))
	if len(value) == 0 {
		delete(topic.newest, key)
	} else {
		topic.newest[key] = item{key, base64.StdEncoding.EncodeToString(value), offset}
	}
	close(topic.changed)
	topic.changed = make(chan struct{})
	return offset
}

// putJSON appends a record with an encoded value.
func (store *store) putJSON(name, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.put(name, key, data)
}

func (store *store) append(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	name := request.URL.Query().Get("topic")
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		http.Error(writer, "not a keyed record", http.StatusBadRequest)
		return
	}
	key, value := string(body[5:5+int(body[4])]), body[5+int(body[4]):]
	if name == "keyed.op" || name == "keyed.servers" {
		http.Error(writer, "not yours", http.StatusForbidden)
		return
	}
	what := "record of " + key
	if len(value) == 0 {
		what = "deletion of the record of " + key
	}
	time.Sleep(appendTime)
	offset := store.put(name, key, value)
	store.record.line("store: %s in %s acknowledged", what, name)
	respond(writer, http.StatusOK, map[string]int64{"offset": offset, "end": offset + 1})
}

func (store *store) read(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(writer, "from is missing", http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	maxKB, err := strconv.Atoi(query.Get("maxKb"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for waiting := waitMS > 0; ; {
		store.mu.Lock()
		topic := store.topic(query.Get("topic"))
		end, changed := int64(len(topic.records)), topic.changed
		var data []byte
		for offset := from; offset < end && (offset == from || len(data)+len(topic.records[offset]) <= maxKB<<10); offset++ {
			data = append(data, topic.records[offset]...)
		}
		store.mu.Unlock()
		if len(data) > 0 || !waiting {
			header := binary.BigEndian.AppendUint64(nil, uint64(end))
			_, _ = writer.Write(append(binary.BigEndian.AppendUint64(header, 0), data...))
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
}

// pageSize is how many items a page of the newest records has.
const pageSize = 500

func (store *store) newest(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mu.Lock()
	topic := store.topic(query.Get("topic"))
	keys := make([]string, 0, len(topic.newest))
	for key := range topic.newest {
		if key > query.Get("dependsOn") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := make([]item, 0, len(keys))
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, topic.newest[key])
	}
	end := len(topic.records)
	store.mu.Unlock()
	respond(writer, http.StatusOK, map[string]any{"items": items, "hasMore": len(keys) > pageSize, "end": end})
}

// respond writes an answer as JSON.
func respond(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
