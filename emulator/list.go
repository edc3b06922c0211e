package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/lister"
)

// maxInstanceBytes is the largest body of a PUT of an instance.
const maxInstanceBytes = 64 << 10

// listChange is a change of the list that becomes visible at visibleAt. A nil instance removes the named one.
type listChange struct {
	visibleAt time.Time
	name      string
	instance  *lister.Instance
}

// List emulates the platform's instance list. A change becomes visible after a lag.
type List struct {
	mux *http.ServeMux

	mu      sync.Mutex
	lag     time.Duration
	down    bool
	visible map[string]lister.Instance
	pending []listChange
}

// NewList returns an empty list whose changes become visible after lag.
func NewList(lag time.Duration) *List {
	list := &List{mux: http.NewServeMux(), lag: lag, visible: make(map[string]lister.Instance)}
	list.mux.HandleFunc("GET /instances", list.handleRead)
	list.mux.HandleFunc("PUT /instances/{name}", list.handlePut)
	list.mux.HandleFunc("DELETE /instances/{name}", func(writer http.ResponseWriter, request *http.Request) {
		list.Remove(request.PathValue("name"))
		writer.WriteHeader(http.StatusNoContent)
	})
	list.mux.HandleFunc("PUT /lag-ms/{lag}", list.handleLag)
	list.mux.HandleFunc("PUT /fault/{fault}", list.handleFault)
	return list
}

// ServeHTTP serves reads and changes of the list, and requests that set the lag or inject a fault.
func (list *List) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	list.mux.ServeHTTP(writer, request)
}

// Put adds or replaces an instance; the change becomes visible after the lag.
func (list *List) Put(instance lister.Instance) { list.scheduleChange(instance.Name, &instance) }

// Remove removes an instance; the change becomes visible after the lag.
func (list *List) Remove(name string) { list.scheduleChange(name, nil) }

func (list *List) scheduleChange(name string, instance *lister.Instance) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.pending = append(list.pending, listChange{visibleAt: time.Now().Add(list.lag), name: name, instance: instance})
}

// SetLag sets the lag of future changes; pending ones keep theirs.
func (list *List) SetLag(lag time.Duration) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.lag = lag
}

// SetDown sets whether the list answers every read with 503.
func (list *List) SetDown(down bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.down = down
}

// snapshot returns the visible instances of failureDomain sorted by name, and whether the list is up.
func (list *List) snapshot(failureDomain string) ([]lister.Instance, bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	now := time.Now()
	list.pending = slices.DeleteFunc(list.pending, func(change listChange) bool {
		if change.visibleAt.After(now) {
			return false
		}
		if change.instance == nil {
			delete(list.visible, change.name)
		} else {
			list.visible[change.name] = *change.instance
		}
		return true
	})
	instances := []lister.Instance{}
	for _, instance := range list.visible {
		if instance.FailureDomain == failureDomain {
			instances = append(instances, instance)
		}
	}
	slices.SortFunc(instances, func(a, b lister.Instance) int { return strings.Compare(a.Name, b.Name) })
	return instances, !list.down
}

func (list *List) handleRead(writer http.ResponseWriter, request *http.Request) {
	instances, up := list.snapshot(request.FormValue("failure-domain"))
	if !up {
		http.Error(writer, "the list is down", http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(lister.InstanceList{Instances: instances})
}

func (list *List) handlePut(writer http.ResponseWriter, request *http.Request) {
	var instance lister.Instance
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxInstanceBytes))
	if err != nil || json.Unmarshal(body, &instance) != nil {
		http.Error(writer, "body is not an instance", http.StatusBadRequest)
		return
	}
	instance.Name = request.PathValue("name")
	if instance.State == "" {
		instance.State = lister.Live
	}
	list.Put(instance)
	writer.WriteHeader(http.StatusNoContent)
}

func (list *List) handleLag(writer http.ResponseWriter, request *http.Request) {
	lag, err := strconv.ParseInt(request.PathValue("lag"), 10, 32)
	if err != nil || lag < 0 {
		http.Error(writer, "lag is not a number of milliseconds", http.StatusBadRequest)
		return
	}
	list.SetLag(time.Duration(lag) * time.Millisecond)
	writer.WriteHeader(http.StatusNoContent)
}

func (list *List) handleFault(writer http.ResponseWriter, request *http.Request) {
	switch request.PathValue("fault") {
	case "healthy":
		list.SetDown(false)
	case "down":
		list.SetDown(true)
	default:
		http.Error(writer, "unknown fault", http.StatusBadRequest)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
