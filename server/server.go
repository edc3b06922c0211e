package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/accountant"
	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/configurer"
	"github.com/hyssoplift/hyssoplift/encoder"
	"github.com/hyssoplift/hyssoplift/keeper"
	"github.com/hyssoplift/hyssoplift/leaser"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/lister"
	"github.com/hyssoplift/hyssoplift/starter"
	"github.com/hyssoplift/hyssoplift/watcher"
)

const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is longer than that of common balancers, so that the balancer closes idle connections first.
	idleTimeout = 2 * time.Minute
	// ackTimeout is a hundred round trips inside a failure domain; it bounds the delay when a witness is gone.
	ackTimeout = 100 * time.Millisecond
	// syncTimeout leaves time for some 100,000 records of a slice.
	syncTimeout = time.Second
	// outcomeInterval batches ends of jobs; until it is over, a successor answers "unknown" for "finished".
	outcomeInterval = 50 * time.Millisecond
	// viewPatience is how long a new instance waits for a view before it serves jobs under solo keys.
	viewPatience = 15 * time.Second
)

// Server is one entry instance.
type Server struct {
	settings   configurer.Settings
	self       keeper.Member
	started    time.Time
	logger     hclog.Logger
	log        *appender.Appender
	lister     *lister.Lister
	domains    *domains
	starter    *starter.Starter
	leaser     *leaser.Leaser
	meter      *meter
	drain      *drain
	linker     *linker.Linker
	keeper     *keeper.Keeper
	decider    *decider
	scheduler  *scheduler
	views      *views
	membership *membership
	accountant *accountant.Accountant
	http       *http.Server
	bundle     atomic.Pointer[bundler.Bundle]
	composer   *bundler.Composer
	anonymous  atomic.Uint64
	failed     chan struct{}
	stop       context.CancelFunc
}

// New returns a server that listens on listener, follows the bundles and views of the log, and joins its
// failure domain.
func New(settings configurer.Settings, listener net.Listener, logger hclog.Logger) *Server {
	ctx, stop := context.WithCancel(context.Background())
	address := settings.Text("advertise")
	if address == "" {
		address = listener.Addr().String()
	}
	server := &Server{
		settings: settings,
		// The incarnation is made here and not given, because a restarted process must never reuse one.
		self:     keeper.Member{Name: settings.Text("instance"), Incarnation: strconv.FormatUint(rand.Uint64(), 36), Address: address},
		started:  time.Now(),
		logger:   logger,
		log:      appender.New(settings.Text("log")),
		starter:  starter.New(),
		failed:   make(chan struct{}),
		leaser:   leaser.New(),
		composer: newComposer(settings),
		drain:    newDrain(),
		stop:     stop,
	}
	if list := settings.Text("list"); list != "" {
		server.lister = lister.New(list)
		server.domains = newDomains(server.lister)
	}
	server.meter = newMeter(func() float64 { return float64(server.drain.inFlight()) })
	server.join(ctx)
	server.meter.watch(server)
	server.http = &http.Server{Handler: server.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	go func() { server.followBundles(ctx) }()
	go func() {
		if err := server.http.Serve(listener); err != http.ErrServerClosed {
			logger.Error("serving stopped", "error", eris.ToString(err, false))
			close(server.failed)
		}
	}()
	return server
}

// join sets up the parts that make the instance a member of its failure domain.
func (server *Server) join(ctx context.Context) {
	settings, logger := server.settings, server.logger
	retention := time.Duration(settings.Count("retention")) * time.Millisecond
	limits := keeper.Limits{
		MaxAnswerBytes:  settings.Count("max-answer-bytes"),
		MaxRecords:      int(settings.Count("max-records")),
		Retention:       retention,
		MaxRun:          encoder.MaxTimeout + decisionGrace,
		AckTimeout:      ackTimeout,
		SyncTimeout:     syncTimeout,
		OutcomeInterval: outcomeInterval,
	}
	server.keeper = keeper.New(server.self, server.domain(), limits, server.started)
	server.accountant = server.newAccountant(retention, limits.MaxRecords)
	hello := linker.Hello{Domain: server.domain(), Name: server.self.Name, Incarnation: server.self.Incarnation, Address: server.self.Address}
	server.linker = linker.New(hello, linker.DefaultLimits(), logger, server.receive)
	server.decider = newDecider(ctx, server.keeper, server.linker, logger)
	server.scheduler = newScheduler(ctx, server.domain(), server.self.Incarnation)
	server.views = newViews(server.log, server.domain(), server.decider, logger, func(number int64, view keeper.View) {
		server.membership.setView(number, view)
		server.scheduler.setMembers(view.Members)
	})
	self := watcherMember(server.self)
	server.membership = &membership{
		self: self, domain: server.domain(), watcher: watcher.New(self, server.started), linker: server.linker,
		keeper: server.keeper, views: server.views, lister: server.lister, retention: retention, logger: logger,
		status: server.fillHeartbeat, excluded: make(chan struct{}),
		met: make(map[string]linker.Hello), heard: make(map[string]heard), suspected: make(map[string]bool),
		accounted: keeper.NoView,
	}
	go func() { server.views.follow(ctx) }()
	go func() { server.membership.followList(ctx) }()
	go func() { server.membership.run(ctx) }()
}

// install puts a bundle in force.
func (server *Server) install(bundle *bundler.Bundle) {
	server.scheduler.configure(bundle, time.Now())
	server.setObjectives(bundle)
	server.bundle.Store(bundle)
}

func (server *Server) fillHeartbeat(heartbeat *linker.Heartbeat) {
	heartbeat.Load = int64(server.drain.inFlight())
	heartbeat.Synced = server.keeper.Synced()
	if bundle := server.bundle.Load(); bundle != nil {
		heartbeat.BundleVersion = bundle.Version()
	}
}

// Failed is closed when the listener has failed, so that no request arrives any more.
func (server *Server) Failed() <-chan struct{} { return server.failed }

// Excluded is closed when the other instances have left this incarnation out; it can only stop.
func (server *Server) Excluded() <-chan struct{} { return server.membership.excluded }

func (server *Server) domain() string { return server.settings.Text("failure-domain") }

func (server *Server) keyPrefix() string { return server.keeper.KeyPrefix(time.Now()) }

// anonymousKey returns a key for a job that came without one.
func (server *Server) anonymousKey() string {
	return server.keeper.AnonymousKey(strconv.FormatUint(server.anonymous.Add(1), 36), time.Now())
}

func (server *Server) handler() http.Handler {
	outer := func(last handler, filters ...filter) handler {
		common := []filter{server.recoverPanics, server.logRequests, server.setHeaders, server.takeTrace}
		return chain(last, append(common, filters...)...)
	}
	mux := http.NewServeMux()
	mux.Handle(linker.Path, server.linker)
	mux.Handle("/v1/jobs", methods{
		http.MethodPost: outer(server.submit, server.limitBody, server.decodeJob, server.snapshotBundle, server.trackJobs),
	})
	mux.Handle("/v1/jobs/{key}", methods{
		http.MethodGet:    outer(server.handleLookup, server.takeKey),
		http.MethodDelete: outer(server.handleCancel, server.takeKey),
	})
	mux.Handle("/v1/key-prefix", methods{http.MethodGet: outer(server.handlePrefix)})
	mux.Handle("/v1/status", methods{http.MethodGet: outer(server.handleStatus)})
	mux.Handle("/healthz", methods{http.MethodGet: outer(func(exchange *exchange) { exchange.WriteHeader(http.StatusNoContent) })})
	mux.Handle("/readyz", methods{http.MethodGet: outer(server.handleReady)})
	mux.Handle("/metrics", methods{http.MethodGet: outer(func(exchange *exchange) { server.meter.write(exchange) })})
	mux.Handle("/v1/burn", methods{http.MethodGet: outer(server.handleBurn())})
	notFound := outer(server.handleNotFound)
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		notFound(&exchange{ResponseWriter: writer, request: request, received: time.Now()})
	})
	return mux
}
