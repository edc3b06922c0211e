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
	// idleTimeout exceeds that of common load balancers, so that the balancer closes idle connections first.
	idleTimeout = 2 * time.Minute
	// ackTimeout is about a hundred round trips within a failure domain. It bounds the delay when a witness is down.
	ackTimeout = 100 * time.Millisecond
	// syncTimeout is enough for about 100,000 records of a slice.
	syncTimeout = time.Second
	// outcomeInterval is the interval at which outcomes are sent to witnesses in batches. Until then a successor
	// reports the outcome of a finished job as unknown.
	outcomeInterval = 50 * time.Millisecond
	// viewWait is how long a new instance waits for a view before it serves jobs under solo keys.
	viewWait = 15 * time.Second
)

// Server is an entry instance.
type Server struct {
	settings       configurer.Settings
	self           keeper.Member
	started        time.Time
	logger         hclog.Logger
	log            *appender.Appender
	lister         *lister.Lister
	domainCache    *domainCache
	starter        *starter.Starter
	leaser         *leaser.Leaser
	meter          *meter
	drainer        *drainer
	linker         *linker.Linker
	keeper         *keeper.Keeper
	keeperDriver   *keeperDriver
	scheduler      *scheduler
	viewLog        *viewLog
	membership     *membership
	accountant     *accountant.Accountant
	http           *http.Server
	bundle         atomic.Pointer[bundler.Bundle]
	composer       *bundler.Composer
	anonymousCount atomic.Uint64
	failed         chan struct{}
	stop           context.CancelFunc
}

// New returns a server that serves on listener, follows the bundles and views in the log, and joins its failure domain.
func New(settings configurer.Settings, listener net.Listener, logger hclog.Logger) *Server {
	ctx, stop := context.WithCancel(context.Background())
	address := settings.Text("advertise")
	if address == "" {
		address = listener.Addr().String()
	}
	server := &Server{
		settings: settings,
		// The incarnation is generated and not configurable, because a restarted process must never reuse one.
		self:     keeper.Member{Name: settings.Text("instance"), Incarnation: strconv.FormatUint(rand.Uint64(), 36), Address: address},
		started:  time.Now(),
		logger:   logger,
		log:      appender.New(settings.Text("log")),
		starter:  starter.New(),
		failed:   make(chan struct{}),
		leaser:   leaser.New(),
		composer: newComposer(settings),
		drainer:  newDrainer(),
		stop:     stop,
	}
	if list := settings.Text("list"); list != "" {
		server.lister = lister.New(list)
		server.domainCache = newDomainCache(server.lister)
	}
	server.meter = newMeter(func() float64 { return float64(server.drainer.inFlight()) })
	server.setUpMembership(ctx)
	server.meter.registerGauges(server)
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

// setUpMembership creates and starts the components that make the instance a member of its failure domain.
func (server *Server) setUpMembership(ctx context.Context) {
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
	server.keeperDriver = newKeeperDriver(ctx, server.keeper, server.linker, logger)
	server.scheduler = newScheduler(ctx, server.domain(), server.self.Incarnation)
	server.viewLog = newViewLog(server.log, server.domain(), server.keeperDriver, logger, func(number int64, view keeper.View) {
		server.membership.setView(number, view)
		server.scheduler.setMembers(view.Members)
	})
	self := watcherMember(server.self)
	server.membership = &membership{
		self: self, domain: server.domain(), watcher: watcher.New(self, server.started), linker: server.linker,
		keeper: server.keeper, viewLog: server.viewLog, lister: server.lister, retention: retention, logger: logger,
		fillHeartbeat: server.fillHeartbeat, excluded: make(chan struct{}),
		hellos: make(map[string]linker.Hello), lastHeartbeat: make(map[string]lastHeartbeat), suspected: make(map[string]bool),
		adoptedByAll: keeper.NoView,
	}
	go func() { server.viewLog.follow(ctx) }()
	go func() { server.membership.pollList(ctx) }()
	go func() { server.membership.run(ctx) }()
}

// installBundle puts a bundle in force.
func (server *Server) installBundle(bundle *bundler.Bundle) {
	server.scheduler.configure(bundle, time.Now())
	server.setObjectives(bundle)
	server.bundle.Store(bundle)
}

// fillHeartbeat sets the fields of a heartbeat that describe this server.
func (server *Server) fillHeartbeat(heartbeat *linker.Heartbeat) {
	heartbeat.Load = int64(server.drainer.inFlight())
	heartbeat.Synced = server.keeper.Synced()
	if bundle := server.bundle.Load(); bundle != nil {
		heartbeat.BundleVersion = bundle.Version()
	}
}

// Failed returns a channel that is closed when the listener has failed, after which no request arrives.
func (server *Server) Failed() <-chan struct{} { return server.failed }

// Excluded returns a channel that is closed when the other instances have excluded this incarnation, which must then
// stop.
func (server *Server) Excluded() <-chan struct{} { return server.membership.excluded }

func (server *Server) domain() string { return server.settings.Text("failure-domain") }

func (server *Server) keyPrefix() string { return server.keeper.KeyPrefix(time.Now()) }

// anonymousKey returns a new key for a job that was submitted without one.
func (server *Server) anonymousKey() string {
	return server.keeper.AnonymousKey(strconv.FormatUint(server.anonymousCount.Add(1), 36), time.Now())
}

// handler returns the HTTP handler of all paths.
func (server *Server) handler() http.Handler {
	withCommonFilters := func(last handler, filters ...filter) handler {
		common := []filter{server.recoverPanics, server.logRequests, server.setHeaders, server.readTraceParent}
		return chain(last, append(common, filters...)...)
	}
	mux := http.NewServeMux()
	mux.Handle(linker.Path, server.linker)
	mux.Handle("/v1/jobs", methods{
		http.MethodPost: withCommonFilters(server.submit, server.readBody, server.decodeJob, server.attachBundle, server.trackJobs),
	})
	mux.Handle("/v1/jobs/{key}", methods{
		http.MethodGet:    withCommonFilters(server.handleLookup, server.readKey),
		http.MethodDelete: withCommonFilters(server.handleCancel, server.readKey),
	})
	mux.Handle("/v1/key-prefix", methods{http.MethodGet: withCommonFilters(server.handleKeyPrefix)})
	mux.Handle("/v1/status", methods{http.MethodGet: withCommonFilters(server.handleStatus)})
	mux.Handle("/healthz", methods{http.MethodGet: withCommonFilters(func(exchange *exchange) { exchange.WriteHeader(http.StatusNoContent) })})
	mux.Handle("/readyz", methods{http.MethodGet: withCommonFilters(server.handleReady)})
	mux.Handle("/metrics", methods{http.MethodGet: withCommonFilters(func(exchange *exchange) { server.meter.write(exchange) })})
	mux.Handle("/v1/burn", methods{http.MethodGet: withCommonFilters(server.burnHandler())})
	notFound := withCommonFilters(server.handleNotFound)
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		notFound(&exchange{ResponseWriter: writer, request: request, received: time.Now()})
	})
	return mux
}
