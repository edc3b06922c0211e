package server

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/keeper"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

const (
	// maxNamed bounds the jobs that are named when a stop leaves them behind.
	maxNamed = 20
	// drainInterval is how often a stop looks whether it is done.
	drainInterval = 20 * time.Millisecond
)

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

// Shutdown makes the instance not ready, keeps serving until balancerWait, finishes what is in flight, hands
// its slices over and returns; when ctx is done first, it returns an error that says what was left.
func (server *Server) Shutdown(ctx context.Context, balancerWait time.Time) error {
	defer server.stop()
	defer server.linker.Close()
	server.drain.start()
	server.membership.leave()
	sleeper.Until(ctx, balancerWait)
	err := server.http.Shutdown(ctx)
	for ctx.Err() == nil && (server.drain.inFlight() > 0 || !server.handedOver()) {
		sleeper.For(ctx, drainInterval)
	}
	if count, keys := server.drain.left(); count > 0 {
		server.logger.Error("stopped with jobs in flight", "count", count, "jobs", keys)
		_ = server.http.Close()
		return eris.Errorf("stopped with %d jobs in flight, among them %v", count, keys)
	}
	if err != nil {
		_ = server.http.Close()
		return eris.Wrap(err, "stopped with requests in flight")
	}
	if !server.handedOver() {
		return eris.New("stopped before the other members had taken over the slices")
	}
	// The last ends of jobs are on their way to their witnesses.
	sleeper.For(ctx, 2*outcomeInterval)
	if err := server.accountant.Close(ctx); err != nil {
		// The report shows the last minutes as missing; that is no reason to fail the stop.
		server.logger.Warn("last burn counts not appended", "error", eris.ToString(err, false))
	}
	return nil
}

// handedOver says that no other instance needs this one: it is in no view, alone, or every slice has a new owner.
func (server *Server) handedOver() bool {
	number, view := server.keeper.View()
	if _, member := view.Member(server.self.Incarnation); member {
		return len(view.Members) == 1
	}
	departing := slices.ContainsFunc(view.Departing, func(member keeper.Member) bool {
		return member.Incarnation == server.self.Incarnation
	})
	return number == keeper.NoView || !departing || server.keeper.HandedOver()
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

// ready says that the balancer may send requests: a bundle is in force, and the instance serves its slices
// or reaches one that does.
func (server *Server) ready() bool {
	if server.drain.started() || server.bundle.Load() == nil {
		return false
	}
	number, view := server.keeper.View()
	if number == keeper.NoView {
		// Jobs without a key, and those under solo keys, need no view.
		return time.Since(server.started) > viewPatience
	}
	if _, member := view.Member(server.self.Incarnation); member {
		return server.keeper.Synced()
	}
	return slices.ContainsFunc(view.Members, func(member keeper.Member) bool { return server.linker.Connected(member.Incarnation) })
}
