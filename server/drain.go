package server

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxNamed bounds the jobs that are named when a stop leaves them behind.
const maxNamed = 20

// drain knows the jobs in flight and leads the instance out of service.
type drain struct {
	stopping chan struct{}
	once     sync.Once

	mu   sync.Mutex
	next uint64
	jobs map[uint64]string
}

func newDrain() *drain { return &drain{stopping: make(chan struct{}), jobs: make(map[uint64]string)} }

// start makes the instance not ready.
func (drain *drain) start() { drain.once.Do(func() { close(drain.stopping) }) }

func (drain *drain) started() bool {
	select {
	case <-drain.stopping:
		return true
	default:
		return false
	}
}

// enter notes a job in flight and returns its number for leave.
func (drain *drain) enter(key string) uint64 {
	drain.mu.Lock()
	defer drain.mu.Unlock()
	drain.next++
	drain.jobs[drain.next] = key
	return drain.next
}

func (drain *drain) leave(number uint64) {
	drain.mu.Lock()
	defer drain.mu.Unlock()
	delete(drain.jobs, number)
}

func (drain *drain) inFlight() int {
	drain.mu.Lock()
	defer drain.mu.Unlock()
	return len(drain.jobs)
}

// left returns the number of jobs in flight and the keys of some of them.
func (drain *drain) left() (int, []string) {
	drain.mu.Lock()
	defer drain.mu.Unlock()
	keys := make([]string, 0, min(len(drain.jobs), maxNamed))
	for _, key := range drain.jobs {
		if len(keys) == maxNamed {
			break
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return len(drain.jobs), keys
}

// Shutdown makes the instance not ready, keeps serving until balancerWait, hands over its slices, finishes
// what is in flight and returns; when ctx is done first, it returns an error that says what was left.
func (server *Server) Shutdown(ctx context.Context, balancerWait time.Time) error {
	defer server.stop()
	server.drain.start()
	timer := time.NewTimer(time.Until(balancerWait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	err := server.http.Shutdown(ctx)
	if count, keys := server.drain.left(); count > 0 {
		server.logger.Error("stopped with jobs in flight", "count", count, "jobs", keys)
		_ = server.http.Close()
		return eris.Errorf("stopped with %d jobs in flight, among them %v", count, keys)
	}
	if err != nil {
		_ = server.http.Close()
		return eris.Wrap(err, "stopped with requests in flight")
	}
	return nil
}

// trackJobs makes a planned stop wait for the job, also when its caller has gone.
func (server *Server) trackJobs(next handler) handler {
	return func(exchange *exchange) {
		number := server.drain.enter(exchange.key)
		defer server.drain.leave(number)
		next(exchange)
	}
}

func (server *Server) handleReady(exchange *exchange) {
	if server.ready() {
		exchange.WriteHeader(http.StatusNoContent)
		return
	}
	writeProblem(exchange, problem{status: http.StatusServiceUnavailable, kind: "not-ready", title: "The instance is not ready", notRun: true, retryIn: time.Second})
}

func (server *Server) ready() bool { return !server.drain.started() && server.bundle.Load() != nil }
