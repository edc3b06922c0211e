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
	// maxListedJobs is the maximum number of jobs named when a shutdown leaves jobs in flight.
	maxListedJobs = 20
	// drainInterval is how often a shutdown checks whether the instance is drained.
	drainInterval = 20 * time.Millisecond
)

// drainer tracks the jobs in flight and whether the instance is shutting down.
type drainer struct {
	stopping chan struct{}
	once     sync.Once

	mu   sync.Mutex
	next uint64
	jobs map[uint64]string
}

func newDrainer() *drainer {
	return &drainer{stopping: make(chan struct{}), jobs: make(map[uint64]string)}
}

// start marks the instance as shutting down, which makes it not ready.
func (drainer *drainer) start() { drainer.once.Do(func() { close(drainer.stopping) }) }

func (drainer *drainer) started() bool {
	select {
	case <-drainer.stopping:
		return true
	default:
		return false
	}
}

// enter registers a job in flight and returns its number, to be passed to exit.
func (drainer *drainer) enter(key string) uint64 {
	drainer.mu.Lock()
	defer drainer.mu.Unlock()
	drainer.next++
	drainer.jobs[drainer.next] = key
	return drainer.next
}

func (drainer *drainer) exit(number uint64) {
	drainer.mu.Lock()
	defer drainer.mu.Unlock()
	delete(drainer.jobs, number)
}

func (drainer *drainer) inFlight() int {
	drainer.mu.Lock()
	defer drainer.mu.Unlock()
	return len(drainer.jobs)
}

// remaining returns the number of jobs in flight and the keys of at most maxListedJobs of them.
func (drainer *drainer) remaining() (int, []string) {
	drainer.mu.Lock()
	defer drainer.mu.Unlock()
	keys := make([]string, 0, min(len(drainer.jobs), maxListedJobs))
	for _, key := range drainer.jobs {
		if len(keys) == maxListedJobs {
			break
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return len(drainer.jobs), keys
}

// Shutdown makes the instance not ready, keeps serving until serveUntil, waits for the requests and jobs in flight,
// hands its slices over, and then returns. If ctx is done first, it returns an error that states what was unfinished.
func (server *Server) Shutdown(ctx context.Context, serveUntil time.Time) error {
	defer server.stop()
	defer server.linker.Close()
	server.drainer.start()
	server.membership.announceLeaving()
	sleeper.Until(ctx, serveUntil)
	err := server.http.Shutdown(ctx)
	for ctx.Err() == nil && (server.drainer.inFlight() > 0 || !server.handedOver()) {
		sleeper.For(ctx, drainInterval)
	}
	if count, keys := server.drainer.remaining(); count > 0 {
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
	// The last outcomes may still be on their way to their witnesses.
	sleeper.For(ctx, 2*outcomeInterval)
	if err := server.accountant.Close(ctx); err != nil {
		// The report shows the last minutes as missing, which is no reason to fail the shutdown.
		server.logger.Warn("last burn counts not appended", "error", eris.ToString(err, false))
	}
	return nil
}

// handedOver reports whether no other instance depends on this one: it is in no view, it is the only member, or every
// slice has a new owner.
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

// trackJobs makes a shutdown wait for the job, even if its caller has disconnected.
func (server *Server) trackJobs(next handler) handler {
	return func(exchange *exchange) {
		number := server.drainer.enter(exchange.key)
		defer server.drainer.exit(number)
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

// ready reports whether the load balancer may send requests: a bundle is in force, and the instance serves its slices
// or is connected to an instance that does.
func (server *Server) ready() bool {
	if server.drainer.started() || server.bundle.Load() == nil {
		return false
	}
	number, view := server.keeper.View()
	if number == keeper.NoView {
		// Jobs without a key and jobs under solo keys do not need a view.
		return time.Since(server.started) > viewWait
	}
	if _, member := view.Member(server.self.Incarnation); member {
		return server.keeper.Synced()
	}
	return slices.ContainsFunc(view.Members, func(member keeper.Member) bool { return server.linker.Connected(member.Incarnation) })
}
