package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax is the longest lease, and stopTime how long a stop takes; the pages allow 50 ms.
	holdMax  = time.Second
	stopTime = 10 * time.Millisecond
	// heartbeatInterval is how often a runner writes its entry.
	heartbeatInterval = 1500 * time.Millisecond
	// lateBy is after how long an order that got no answer is carried out, unless the play sets another; the pages say 2 to 12 s.
	lateBy = 11 * time.Second
	// tick is how often a runner looks for runs that are over.
	tick = 2 * time.Millisecond
)

// runKey names a run on a runner.
type runKey struct {
	task    string
	attempt int64
}

// activeRun is a run that is at work.
type activeRun struct {
	runKey
	began    time.Time
	duration time.Duration
	cpu      int64
	stopping bool
}

// endedRun is a row of the list of ends.
type endedRun struct {
	runKey
	number int64
	how    string
}

// interval is the time that a run took on a runner; it ends with the zero time while the run is at work.
type interval struct {
	runKey
	runner     string
	began, end time.Time
	how        string
}

// runner is a stand-in of one life of a worker.
type runner struct {
	id, zone, service, address string
	capacity                   int64
	record                     *record
	world                      *world
	started                    time.Time
	born                       int64

	mu        sync.Mutex
	draining  bool
	seq       int64
	leaseEnd  time.Time
	running   map[runKey]*activeRun
	finished  []endedRun
	number    int64
	closed    map[string]int64
	changed   chan struct{}
	intervals []*interval
	server    *http.Server
	labels    []string
	down      bool
	// fence is the highest fencing token since the runner's start.
	fence int64
	// mute, if set, decides whether an order gets no answer and is carried out late. It is called without the lock.
	mute func(operation string, run runKey) bool
	// lateBy is after how long such an order is carried out.
	lateBy time.Duration
	// onStart, if set, is called after a run has begun.
	onStart func(run runKey)
}

func newRunner(world *world, id, zone, service, address string, capacity int64, kind string) *runner {
	now := time.Now()
	return &runner{
		id: id, zone: zone, service: service, address: address, capacity: capacity, record: world.record, world: world,
		started: now.Add(-time.Minute), born: now.Add(-time.Minute).UnixMilli(),
		running: make(map[runKey]*activeRun), closed: make(map[string]int64), changed: make(chan struct{}),
		labels: []string{kind, "r1-1"}, lateBy: lateBy,
	}
}

// serve serves the runner's calls and writes its heartbeats until the process ends.
func (runner *runner) serve() error {
	if err := runner.listen(); err != nil {
		return err
	}
	go func() {
		for {
			runner.beat()
			time.Sleep(heartbeatInterval)
		}
	}()
	go func() {
		for last := time.Now(); ; {
			time.Sleep(tick)
			runner.mu.Lock()
			now := time.Now()
			runner.advance(now)
			runner.mu.Unlock()
			runner.world.observe(now.Sub(last) - tick)
			last = now
		}
	}()
	return nil
}

func (runner *runner) listen() error {
	listener, err := net.Listen("tcp", runner.address)
	if err != nil {
		return err
	}
	runner.mu.Lock()
	defer runner.mu.Unlock()
	server := &http.Server{Handler: runner, ReadHeaderTimeout: 5 * time.Second}
	runner.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the runner with all that runs on it. Its host refuses connections from then on.
func (runner *runner) crash() {
	runner.mu.Lock()
	now := time.Now()
	runner.down = true
	for key := range runner.running {
		runner.end(key, "lost in a crash", now)
	}
	server := runner.server
	runner.mu.Unlock()
	_ = server.Close()
	runner.record.note("runner %s: crashed", runner.id)
}

// restart starts a crashed runner again under its id; it knows nothing of before.
func (runner *runner) restart() error {
	runner.mu.Lock()
	now := time.Now()
	runner.down, runner.started, runner.born = false, now, now.UnixMilli()
	runner.seq, runner.number, runner.fence, runner.leaseEnd = 0, 0, 0, time.Time{}
	runner.finished, runner.closed = nil, make(map[string]int64)
	runner.mu.Unlock()
	if err := runner.listen(); err != nil {
		return err
	}
	runner.beat()
	runner.record.note("runner %s: started again", runner.id)
	return nil
}

// beat writes the runner's entry into the store.
func (runner *runner) beat() {
	runner.mu.Lock()
	if runner.down {
		runner.mu.Unlock()
		return
	}
	runner.seq++
	state := "ready"
	if runner.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": runner.service, "addr": runner.address, "zone": runner.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": runner.capacity, "memMb": 262144, "gpu": 0}, "labels": runner.labels,
		"clockMs": time.Since(runner.started).Milliseconds(), "seq": runner.seq, "born": runner.born,
	}
	runner.mu.Unlock()
	runner.world.store.put("keyed.servers", runner.id, entry)
}

// advance ends the runs whose time or lease is over; the caller holds the lock.
func (runner *runner) advance(now time.Time) {
	for key, run := range runner.running {
		switch done := run.began.Add(run.duration); {
		case !now.Before(runner.leaseEnd) && done.After(runner.leaseEnd):
			runner.end(key, "lapsed", now)
		case !now.Before(done):
			runner.end(key, "done", now)
		}
	}
}

// end ends a run; the caller holds the lock.
func (runner *runner) end(key runKey, how string, now time.Time) {
	if _, ok := runner.running[key]; !ok {
		return
	}
	delete(runner.running, key)
	runner.number++
	runner.finished = append(runner.finished, endedRun{key, runner.number, how})
	runner.closed[key.task] = max(runner.closed[key.task], key.attempt)
	for _, known := range runner.intervals {
		if known.runKey == key && known.end.IsZero() {
			known.end, known.how = now, how
		}
	}
	runner.record.note("runner %s: run %s/%d ended %s", runner.id, key.task, key.attempt, how)
	close(runner.changed)
	runner.changed = make(chan struct{})
}

// order is the body of a call of an instance.
type order struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMS       int64  `json:"waitMs"`
}

// ServeHTTP serves the calls of instances.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	operation := strings.TrimPrefix(request.URL.Path, "/hyssoplift/")
	var body order
	if request.URL.Path != "/healthz" {
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	key := runKey{body.Task, body.Attempt}
	if operation != "hold" && runner.mute != nil && runner.mute(operation, key) {
		runner.record.note("runner %s: %s %s/%d gets no answer and is carried out %s later", runner.id, operation, body.Task, body.Attempt, runner.lateBy)
		time.AfterFunc(runner.lateBy, func() {
			status, answer := runner.carryOut(operation, &body)
			runner.record.note("runner %s: late %s %s/%d was carried out: %d %v", runner.id, operation, body.Task, body.Attempt, status, answer["reason"])
		})
		<-request.Context().Done()
		return
	}
	switch operation {
	case "run-start", "run-stop":
		status, answer := runner.carryOut(operation, &body)
		writeJSON(writer, status, answer)
	case "hold":
		runner.serveHold(writer, request, &body)
	default:
		writer.WriteHeader(http.StatusOK)
	}
}

// carryOut carries out an order and returns the status and body of its answer.
func (runner *runner) carryOut(operation string, body *order) (int, map[string]any) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	now := time.Now()
	if runner.down {
		return http.StatusServiceUnavailable, nil
	}
	runner.advance(now)
	answer := map[string]any{"clockMs": now.Sub(runner.started).Milliseconds(), "born": runner.born}
	key := runKey{body.Task, body.Attempt}
	if runner.fenced(body) {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	if operation == "run-stop" {
		runner.stop(key)
		return http.StatusOK, answer
	}
	if reason := runner.start(key, body, now); reason != "" {
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	return http.StatusOK, answer
}

// fenced reports whether an order carries a lower fencing token than an earlier one; the caller holds the lock.
func (runner *runner) fenced(body *order) bool {
	if body.FencingToken < runner.fence {
		runner.record.note("runner %s: order for %s/%d rejected: fence %d, %d was seen", runner.id, body.Task, body.Attempt, body.FencingToken, runner.fence)
		return true
	}
	runner.fence = body.FencingToken
	return false
}

// stop ends a run after stopTime, or keeps one from starting that is not there; the caller holds the lock.
func (runner *runner) stop(key runKey) {
	runner.record.note("runner %s: stop of %s/%d", runner.id, key.task, key.attempt)
	run, ok := runner.running[key]
	if !ok {
		runner.closed[key.task] = max(runner.closed[key.task], key.attempt)
		return
	}
	if !run.stopping {
		run.stopping = true
		due := time.Now().Add(stopTime)
		time.AfterFunc(stopTime, func() {
			runner.mu.Lock()
			defer runner.mu.Unlock()
			now := time.Now()
			runner.world.observe(now.Sub(due))
			runner.end(key, "stopped", now)
		})
	}
}

// start starts a run, or returns why it does not; the caller holds the lock.
func (runner *runner) start(key runKey, body *order, now time.Time) string {
	deadline := runner.started.Add(time.Duration(body.DeadlineMS) * time.Millisecond)
	if !deadline.After(now) {
		runner.record.note("runner %s: start of %s/%d rejected: late", runner.id, key.task, key.attempt)
		return "late"
	}
	runner.extend(deadline, now)
	if _, ok := runner.running[key]; ok {
		runner.record.note("runner %s: start of %s/%d, which runs already", runner.id, key.task, key.attempt)
		return ""
	}
	if key.attempt <= runner.closed[key.task] {
		runner.record.note("runner %s: start of %s/%d rejected: old", runner.id, key.task, key.attempt)
		return "old"
	}
	work := decodeSpec(body.Spec)
	used := int64(0)
	for _, run := range runner.running {
		used += run.cpu
	}
	if used+work.CPU > runner.capacity {
		runner.record.note("runner %s: start of %s/%d rejected: room", runner.id, key.task, key.attempt)
		return "room"
	}
	runner.running[key] = &activeRun{runKey: key, began: now, duration: time.Duration(work.MS) * time.Millisecond, cpu: work.CPU}
	runner.intervals = append(runner.intervals, &interval{runKey: key, runner: runner.id, began: now})
	runner.record.note("runner %s: run %s/%d begins", runner.id, key.task, key.attempt)
	if runner.onStart != nil {
		go runner.onStart(key)
	}
	return ""
}

// extend extends the lease; the caller holds the lock.
func (runner *runner) extend(deadline, now time.Time) {
	if longest := now.Add(holdMax); deadline.After(longest) {
		deadline = longest
	}
	if deadline.After(runner.leaseEnd) {
		runner.leaseEnd = deadline
	}
}

func (runner *runner) serveHold(writer http.ResponseWriter, request *http.Request, body *order) {
	timer := time.NewTimer(time.Duration(min(body.WaitMS, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting, first := body.WaitMS > 0, true; ; first = false {
		runner.mu.Lock()
		now := time.Now()
		runner.advance(now)
		if first && runner.fenced(body) {
			answer := map[string]any{"clockMs": now.Sub(runner.started).Milliseconds(), "born": runner.born, "reason": "fence"}
			runner.mu.Unlock()
			writeJSON(writer, http.StatusConflict, answer)
			return
		}
		if body.DeadlineMS > 0 {
			if runner.extend(runner.started.Add(time.Duration(body.DeadlineMS)*time.Millisecond), now); len(runner.running) > 0 {
				runner.record.note("runner %s: a hold extends the lease of %d runs to %.3f", runner.id, len(runner.running), runner.record.seconds(runner.leaseEnd))
			}
			body.DeadlineMS = 0
		}
		runner.finished = slices.DeleteFunc(runner.finished, func(ended endedRun) bool { return ended.number <= body.AckCursor })
		if len(runner.finished) > 0 || !waiting {
			answer := runner.list(now)
			runner.mu.Unlock()
			writeJSON(writer, http.StatusOK, answer)
			return
		}
		changed := runner.changed
		runner.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
}

// list returns the body of the answer to a hold; the caller holds the lock.
func (runner *runner) list(now time.Time) map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, run := range runner.running {
		percent := min(100, int(100*now.Sub(run.began)/max(run.duration, time.Millisecond)))
		running = append(running, []any{run.task, run.attempt, "", percent, run.cpu})
	}
	for _, ended := range runner.finished[:min(len(runner.finished), 500)] {
		finished = append(finished, []any{ended.number, ended.task, ended.attempt, ended.how, ""})
	}
	return map[string]any{"clockMs": now.Sub(runner.started).Milliseconds(), "born": runner.born, "running": running, "finished": finished}
}

// work is what the spec of a job says about each of its tasks: how long it runs and how much it takes.
type work struct {
	MS  int64
	CPU int64
}

// spec returns the spec of a job.
func (work work) spec() string {
	return "ms=" + strconv.FormatInt(work.MS, 10) + " cpu=" + strconv.FormatInt(work.CPU, 10)
}

func decodeSpec(spec string) work {
	var decoded work
	for field := range strings.FieldsSeq(spec) {
		name, value, _ := strings.Cut(field, "=")
		number, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "ms":
			decoded.MS = number
		case "cpu":
			decoded.CPU = number
		}
	}
	return decoded
}
