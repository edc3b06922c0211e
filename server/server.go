package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/accountant"
	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/bundler"
	"github.com/hyssoplift/hyssoplift/configurer"
	"github.com/hyssoplift/hyssoplift/starter"
)

const readHeaderTimeout = 5 * time.Second

// Server is one entry instance.
type Server struct {
	settings configurer.Settings
	logger   hclog.Logger
	log      *appender.Appender
	starter  *starter.Starter
	metrics  *metrics.Set
	http     *http.Server
	bundle   atomic.Pointer[bundler.Bundle]
	stopping atomic.Bool
	stop     context.CancelFunc
}

// New returns a server that listens on listener and follows the bundles of the log.
func New(settings configurer.Settings, listener net.Listener, logger hclog.Logger) *Server {
	ctx, stop := context.WithCancel(context.Background())
	server := &Server{
		settings: settings,
		logger:   logger,
		log:      appender.New(settings.Text("log")),
		starter:  starter.New(),
		metrics:  metrics.NewSet(),
		stop:     stop,
	}
	server.http = &http.Server{Handler: server.handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { server.followBundles(ctx) }()
	go func() {
		if err := server.http.Serve(listener); err != http.ErrServerClosed {
			logger.Error("serving stopped", "error", eris.ToString(err, false))
		}
	}()
	return server
}

// Shutdown stops accepting requests, waits for those in flight until ctx is done, and returns an error if any were left.
func (server *Server) Shutdown(ctx context.Context) error {
	server.stopping.Store(true)
	defer server.stop()
	return eris.Wrap(server.http.Shutdown(ctx), "waiting for requests in flight")
}

func (server *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", server.handleJob)
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /readyz", server.handleReady)
	mux.Handle("GET /v1/burn", accountant.Handler(server.log))
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) {
		server.metrics.WritePrometheus(writer)
		metrics.WriteProcessMetrics(writer)
	})
	return mux
}

func (server *Server) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if server.stopping.Load() || server.bundle.Load() == nil {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
