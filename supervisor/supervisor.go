package supervisor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/clocker"
	"github.com/hyssoplift/hyssoplift/executor"
	"github.com/hyssoplift/hyssoplift/follower"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/platform"
	"github.com/hyssoplift/hyssoplift/recorder"
)

const (
	// notReadyTime is how long callers may still come after a planned stop began: the platform checks each second and
	// sends no new connections after two misses.
	notReadyTime = 2300 * time.Millisecond
	// stopReserve is kept of the platform's grace time for the end of the process.
	stopReserve = 500 * time.Millisecond
	// readHeaderTime bounds the wait for the headers of a request.
	readHeaderTime = 5 * time.Second
	// settingsPoll is how often the settings file is read for changes that no signal tells of.
	settingsPoll = 2 * time.Second
	// remoteLinks bounds the links to instances of other failure domains.
	remoteLinks = 512
	// linkSilence is how long the peer of a link may not answer; the news between instances come much more often.
	linkSilence = 700 * time.Millisecond
)

var (
	// configurationPace notices a silent connection in time for a version to be in force 2 s after its acknowledgement.
	configurationPace = follower.PollOptions{MaxWait: 700 * time.Millisecond, Interval: 10 * time.Millisecond, TimeoutMargin: 700 * time.Millisecond}
	// targetPace reads the many heartbeats of the targets in batches; a leaving target is known well within 2 s.
	targetPace = follower.PollOptions{Interval: 500 * time.Millisecond, TimeoutMargin: 800 * time.Millisecond}
	// instancePace reads the few records of instances; after the loss of all they must find each other soon.
	instancePace = follower.PollOptions{MaxWait: 3 * time.Second, Interval: 50 * time.Millisecond, TimeoutMargin: 800 * time.Millisecond}
)

// Supervisor runs the parts of one instance.
type Supervisor struct {
	// settings, rejected and unreadable belong to the goroutine of Run: what is in use, what was read last with changes
	// that need a start, and whether the file could not be read.
	settings   platform.Settings
	rejected   platform.Settings
	unreadable bool
	lines      *recorder.AsyncWriter
	logger     hclog.Logger
	store      *platform.Store
	executor   *executor.Executor
	entry      *platform.API
	links      *linker.Linker
	targets    *targetRegistry
	peers      *peerRegistry
	ctx        context.Context
	cancel     context.CancelFunc
	group      sync.WaitGroup
	servers    []*http.Server
	failed     chan error

	mu       sync.Mutex
	stopping bool
}

// Run runs an instance until ctx is done and then stops it within the platform's grace time; reload tells that the
// settings file may have changed, and lines carries the log.
func Run(ctx context.Context, settingsPath string, reload <-chan os.Signal, lines *recorder.AsyncWriter, logger hclog.Logger) error {
	settings, err := platform.ReadSettings(settingsPath)
	if err != nil {
		return err
	}
	supervisor, err := start(settings, lines, logger)
	if err != nil {
		return err
	}
	logger.Info("instance started", "instance", settings.Name, "domain", settings.Domain, "callers", settings.CallerAddress)
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	for {
		select {
		case <-reload:
			supervisor.reload(settingsPath, true)
		case <-poll.C:
			supervisor.reload(settingsPath, false)
		case err := <-supervisor.failed:
			supervisor.close()
			return err
		case <-ctx.Done():
			supervisor.stop()
			return nil
		}
	}
}

func start(settings platform.Settings, lines *recorder.AsyncWriter, logger hclog.Logger) (*Supervisor, error) {
	ctx, cancel := context.WithCancel(context.Background())
	hello := linker.Hello{Domain: settings.Domain, Name: settings.Name, Incarnation: uuid.NewString(), Address: settings.PeerAddress, Weight: settings.ProcessorShare}
	running := executor.New(hello, platform.NewTargetClient(clocker.Now), clocker.Now, logger)
	limits := linker.DefaultLimits()
	limits.RemoteLinks, limits.IdleLimit, limits.SilenceLimit = remoteLinks, 0, linkSilence
	links := linker.New(hello, limits, logger, running.Peers().Receive)
	running.Peers().Use(links)
	supervisor := &Supervisor{
		settings: settings,
		lines:    lines,
		logger:   logger,
		store:    platform.NewStore(settings.StoreAddress),
		executor: running,
		entry:    platform.NewAPI(running, clocker.Now, logger),
		links:    links,
		targets:  newTargetRegistry(logger),
		peers:    newPeerRegistry(hello),
		ctx:      ctx,
		cancel:   cancel,
		failed:   make(chan error, 4),
	}
	listeners := []struct {
		address string
		handler http.Handler
	}{
		{settings.CallerAddress, supervisor.entry},
		{settings.ReadinessAddress, http.HandlerFunc(supervisor.readiness)},
		{settings.PeerAddress, supervisor.peerHandler()},
	}
	for _, listener := range listeners {
		if err := supervisor.listen(listener.address, listener.handler); err != nil {
			supervisor.close()
			return nil, err
		}
	}
	supervisor.follow()
	return supervisor, nil
}

func (supervisor *Supervisor) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTime, ErrorLog: supervisor.logger.StandardLogger(nil)}
	supervisor.servers = append(supervisor.servers, server)
	supervisor.group.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			supervisor.failed <- eris.Wrapf(err, "serving %s", address)
		}
	})
	return nil
}

// peerHandler serves links of other instances and the metrics.
func (supervisor *Supervisor) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(linker.Path, supervisor.links)
	mux.HandleFunc("GET /metrics", supervisor.writeMetrics)
	return mux
}

func (supervisor *Supervisor) writeMetrics(writer http.ResponseWriter, _ *http.Request) {
	supervisor.executor.WriteMetrics(writer)
	version := int64(0)
	if configuration := supervisor.entry.Configuration(); configuration != nil {
		version = configuration.Version
	}
	metrics.WriteGaugeUint64(writer, "hyssoplift_configuration_version", uint64(version))
	metrics.WriteCounterUint64(writer, "hyssoplift_log_lines_dropped_total", uint64(supervisor.lines.Dropped()))
}

// readiness answers whether new connections of callers are welcome.
func (supervisor *Supervisor) readiness(writer http.ResponseWriter, _ *http.Request) {
	supervisor.mu.Lock()
	ready := !supervisor.stopping
	supervisor.mu.Unlock()
	if !ready || supervisor.entry.Configuration() == nil || !supervisor.executor.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// follow keeps up with the operator, the targets and the other instances.
func (supervisor *Supervisor) follow() {
	supervisor.group.Go(func() {
		follower.Follow(supervisor.ctx, supervisor.store, platform.ConfigurationTopic, configurationPace, supervisor.logger, supervisor.useConfiguration)
	})
	supervisor.group.Go(func() {
		follower.Follow(supervisor.ctx, supervisor.store, platform.TargetTopic, targetPace, supervisor.logger, func(update follower.Update) {
			if supervisor.targets.update(update) {
				supervisor.executor.SetTargets(supervisor.targets.list())
			}
		})
	})
	supervisor.group.Go(func() {
		follower.Follow(supervisor.ctx, supervisor.store, platform.InstanceTopic, instancePace, supervisor.logger, func(update follower.Update) {
			supervisor.links.SetMembers(supervisor.peers.update(update))
		})
	})
	supervisor.group.Go(func() { supervisor.peers.register(supervisor.ctx, supervisor.store, supervisor.logger) })
}

// useConfiguration puts the newest configuration in force; an older one is never used after it.
func (supervisor *Supervisor) useConfiguration(update follower.Update) {
	newest := supervisor.entry.Configuration()
	current := newest
	for _, record := range update.Records {
		if record.Key != platform.ConfigurationKey || len(record.Value) == 0 {
			continue
		}
		configuration, err := platform.DecodeConfiguration(record.Value)
		if err != nil {
			supervisor.logger.Error("configuration cannot be read", "offset", record.Offset, "error", eris.ToString(err, false))
			continue
		}
		if newest == nil || configuration.Version > newest.Version {
			newest = configuration
		}
	}
	if newest != current {
		supervisor.entry.Configure(newest)
		supervisor.logger.Info("configuration in force", "version", newest.Version, "routes", newest.RouteCount())
	}
}

// reload reads the settings file anew. The address of the store and the grace time change at once; addresses of the
// instance itself are bound until the process ends.
func (supervisor *Supervisor) reload(path string, asked bool) {
	settings, err := platform.ReadSettings(path)
	former := supervisor.settings
	switch {
	case err != nil && (asked || !supervisor.unreadable):
		supervisor.logger.Error("changed settings are not used", "error", eris.ToString(err, false))
	case err == nil && settings == former && asked:
		supervisor.logger.Info("settings are unchanged")
	}
	supervisor.unreadable = err != nil
	if err != nil || settings == former || settings == supervisor.rejected {
		return
	}
	supervisor.store.SetAddress(settings.StoreAddress)
	supervisor.settings.StoreAddress, supervisor.settings.GraceMS = settings.StoreAddress, settings.GraceMS
	if settings != supervisor.settings {
		supervisor.rejected = settings
		supervisor.logger.Warn("some changed settings take effect at the next start only", "instance", settings.Name)
	}
	supervisor.logger.Info("settings changed", "store", settings.StoreAddress, "grace-ms", settings.GraceMS)
}

// stop ends the instance without cutting off requests: no new connections first, then no new requests on those that
// are open, then the end of what is running.
func (supervisor *Supervisor) stop() {
	began := time.Now()
	end := began.Add(time.Duration(supervisor.settings.GraceMS)*time.Millisecond - stopReserve)
	supervisor.logger.Info("instance stops", "instance", supervisor.settings.Name)
	supervisor.mu.Lock()
	supervisor.stopping = true
	supervisor.mu.Unlock()
	supervisor.entry.DisableKeepAlives()
	supervisor.executor.Leave()
	time.Sleep(notReadyTime)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := supervisor.servers[0].Shutdown(ctx); err != nil {
		supervisor.logger.Warn("requests were cut off at the end of the grace time", "error", err.Error())
	}
	// Jobs that this instance runs for others have no connection of a caller here.
	supervisor.executor.Drain(ctx)
	supervisor.peers.unregister(supervisor.store, supervisor.logger)
	supervisor.logger.Info("instance stopped", "instance", supervisor.settings.Name, "after-ms", time.Since(began).Milliseconds())
	supervisor.close()
}

func (supervisor *Supervisor) close() {
	supervisor.cancel()
	for _, server := range supervisor.servers {
		// The process ends; what is still open ends with it.
		_ = server.Close()
	}
	supervisor.links.Close()
	supervisor.executor.Close()
	supervisor.group.Wait()
}
