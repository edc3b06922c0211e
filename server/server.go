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
	"github.com/hyssoplift/hyssoplift/starter"
)

const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is longer than that of common balancers, so that the balancer closes idle connections first.
	idleTimeout = 2 * time.Minute
)

// Server is one entry instance.
type Server struct {
	settings    configurer.Settings
	incarnation string
	logger      hclog.Logger
	log         *appender.Appender
	starter     *starter.Starter
	meter       *meter
	drain       *drain
	http        *http.Server
	bundle      atomic.Pointer[bundler.Bundle]
	stop        context.CancelFunc
}

// New returns a server that listens on listener and follows the bundles of the log.
func New(settings configurer.Settings, listener net.Listener, logger hclog.Logger) *Server {
	ctx, stop := context.WithCancel(context.Background())
	server := &Server{
		settings:    settings,
		incarnation: strconv.FormatUint(rand.Uint64(), 36),
		logger:      logger,
		log:         appender.New(settings.Text("log")),
		starter:     starter.New(),
		drain:       newDrain(),
		stop:        stop,
	}
	server.meter = newMeter(func() float64 { return float64(server.drain.inFlight()) })
	server.http = &http.Server{Handler: server.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	go func() { server.followBundles(ctx) }()
	go func() {
		if err := server.http.Serve(listener); err != http.ErrServerClosed {
			logger.Error("serving stopped", "error", eris.ToString(err, false))
		}
	}()
	return server
}

func (server *Server) handler() http.Handler {
	outer := func(last handler, filters ...filter) handler {
		common := []filter{server.recoverPanics, server.logRequests, server.setHeaders, server.takeTrace}
		return chain(last, append(common, filters...)...)
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/jobs", methods{
		http.MethodPost: outer(server.dispatch, server.limitBody, server.decodeJob, server.snapshotBundle, server.trackJobs),
	})
	mux.Handle("/v1/status", methods{http.MethodGet: outer(server.handleStatus)})
	mux.Handle("/healthz", methods{http.MethodGet: outer(func(exchange *exchange) { exchange.WriteHeader(http.StatusNoContent) })})
	mux.Handle("/readyz", methods{http.MethodGet: outer(server.handleReady)})
	mux.Handle("/metrics", methods{http.MethodGet: outer(func(exchange *exchange) { server.meter.write(exchange) })})
	burn := accountant.Handler(server.log)
	mux.Handle("/v1/burn", methods{http.MethodGet: outer(func(exchange *exchange) { burn.ServeHTTP(exchange, exchange.request) })})
	notFound := outer(server.handleNotFound)
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		notFound(&exchange{ResponseWriter: writer, request: request, received: time.Now()})
	})
	return mux
}
