package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: topics with one partition each that are kept whole.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

// topic holds the records of a topic; changed is closed when one is added.
type topic struct {
	records [][]byte
	changed chan struct{}
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

// topic returns a topic, which is created on first use; the caller holds the lock.
func (store *store) topic(name string) *topic {
	known, ok := store.topics[name]
	if !ok {
		known = &topic{changed: make(chan struct{})}
		store.topics[name] = known
	}
	return known
}

// add appends records to a topic and returns the offset of the first one.
func (store *store) add(name string, records ...[]byte) int {
	store.mu.Lock()
	defer store.mu.Unlock()
	topic := store.topic(name)
	offset := len(topic.records)
	topic.records = append(topic.records, records...)
	close(topic.changed)
	topic.changed = make(chan struct{})
	return offset
}

// newest returns the newest value of a key, or nothing.
func (store *store) newest(name, key string) []byte {
	store.mu.Lock()
	defer store.mu.Unlock()
	var newest []byte
	for _, data := range store.topic(name).records {
		if string(data[1:1+int(data[0])]) == key {
			newest = data[1+int(data[0]):]
		}
	}
	return newest
}

// put appends a keyed record whose value is encoded as JSON; no value drops the key.
func (store *store) put(name, key string, value any) {
	data := append([]byte{byte(len(key))}, key...)
	if value != nil {
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		data = append(data, encoded...)
	}
	store.add(name, data)
}

// ServeHTTP serves the calls of the store that the instances use.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	switch request.Method + " " + request.URL.Path {
	case "POST /hyssoplift/log-append":
		store.serveAppend(writer, request, query.Get("topic"))
	case "GET /hyssoplift/log-read":
		store.serveRead(writer, request, query.Get("topic"))
	case "GET /hyssoplift/log-newest":
		store.serveNewest(writer, query.Get("topic"), query.Get("dependsOn"))
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) serveAppend(writer http.ResponseWriter, request *http.Request, name string) {
	body, err := io.ReadAll(request.Body)
	if err != nil || name == "keyed.op" || name == "keyed.servers" {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if len(body)-4 < length {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+length])
		body = body[4+length:]
	}
	time.Sleep(4 * time.Millisecond)
	offset := store.add(name, records...)
	writeJSON(writer, http.StatusOK, map[string]int{"offset": offset, "end": offset + len(records)})
}

func (store *store) serveRead(writer http.ResponseWriter, request *http.Request, name string) {
	query := request.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	time.Sleep(4 * time.Millisecond)
	for waiting := true; ; {
		store.mu.Lock()
		topic := store.topic(name)
		records, changed := topic.records, topic.changed
		store.mu.Unlock()
		if len(records) > from || !waiting {
			answer := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			answer = binary.BigEndian.AppendUint64(answer, 0)
			for _, data := range records[min(from, len(records)):] {
				answer = binary.BigEndian.AppendUint32(answer, uint32(len(data)))
				answer = append(answer, data...)
			}
			_, _ = writer.Write(answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
}

// newestItem is the newest record of a key; its value is encoded as base64.
type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (store *store) serveNewest(writer http.ResponseWriter, name, after string) {
	time.Sleep(4 * time.Millisecond)
	store.mu.Lock()
	records := store.topic(name).records
	store.mu.Unlock()
	newest := make(map[string]newestItem)
	for offset, data := range records {
		key, value := string(data[1:1+int(data[0])]), data[1+int(data[0]):]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = newestItem{Key: key, Value: value, Offset: offset}
	}
	items := make([]newestItem, 0, len(newest))
	for key, item := range newest {
		if key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	writeJSON(writer, http.StatusOK, map[string]any{"items": items[:min(len(items), 500)], "hasMore": more, "end": len(records)})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}
