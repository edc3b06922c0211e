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
	"github.com/hyssoplift/hyssoplift/drainer"
	"github.com/hyssoplift/hyssoplift/executor"
	"github.com/hyssoplift/hyssoplift/follower"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/platform"
	"github.com/hyssoplift/hyssoplift/recorder"
)

const (
	// notReadyDelay is how long new connections are still accepted after a planned stop has begun: the platform checks
	// readiness every second and sends no new connections after two failed checks.
	notReadyDelay = 2300 * time.Millisecond
	// exitReserve is the part of the platform's grace period that is reserved for the delivery of the last answers and the exit of the
	// process, and deliveryPeriod the part of it in which answers are delivered.
	exitReserve    = 500 * time.Millisecond
	deliveryPeriod = 200 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process exits at the latest.
	exitMargin = 100 * time.Millisecond
	// readHeaderTimeout bounds the time to read the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// settingsPollInterval is how often the settings file is checked for changes that are not announced by a signal.
	settingsPollInterval = 2 * time.Second
	// maxRemoteLinks bounds the number of links to instances of other failure domains.
	maxRemoteLinks = 512
	// linkTimeout bounds the response to a ping, the handshake, and a write on a link. Instances exchange messages far
	// more often.
	linkTimeout = 700 * time.Millisecond
	// mbpsPerCore is the bandwidth in megabits per second that the work of one core takes: some 500 tasks a second of
	// 5 KB each, for start, polls and messages to other instances.
	mbpsPerCore = 20
)

var (
	// configurationPolling detects an unresponsive connection early enough that a new version is in force within 2 s
	// after the store has acknowledged it.
	configurationPolling = follower.PollOptions{MaxWait: 700 * time.Millisecond, Interval: 10 * time.Millisecond, TimeoutMargin: 700 * time.Millisecond}
	// targetPolling reads the frequent heartbeats of the targets in batches and detects a leaving target well
	// within 2 s.
	targetPolling = follower.PollOptions{Interval: 500 * time.Millisecond, TimeoutMargin: 800 * time.Millisecond}
	// instancePolling reads the infrequent records of instances. After all instances were lost, they must discover each
	// other quickly.
	instancePolling = follower.PollOptions{MaxWait: 3 * time.Second, Interval: 50 * time.Millisecond, TimeoutMargin: 800 * time.Millisecond}
)

// Supervisor owns the components of one instance.
type Supervisor struct {
	// settings are the settings in use. Only the goroutine of Run accesses them and the next two fields.
	settings platform.Settings
	// deferredSettings are the settings of the last reload that changed a setting which takes effect only after a
	// restart.
	deferredSettings platform.Settings
	// settingsUnreadable means that the last attempt to read the settings file failed.
	settingsUnreadable bool
	logWriter          *recorder.AsyncWriter
	logger             hclog.Logger
	store              *platform.Store
	targetClient       *platform.TargetClient
	executor           *executor.Executor
	api                *platform.API
	links              *linker.Linker
	targets            *targetRegistry
	peers              *peerRegistry
	publisher          *publisher
	ctx                context.Context
	cancel             context.CancelFunc
	group              sync.WaitGroup
	// servers and the drainers of their connections are in the order in which start creates them; the first one serves callers.
	servers     []*http.Server
	drainers    []*drainer.Drainer
	serveErrors chan error

	mu       sync.Mutex
	stopping bool
}

// Run runs an instance until ctx is done and then stops it within the platform's grace period. A value on reload makes
// it read the settings file again. logWriter is the writer behind logger; its dropped lines are exported as a metric.
func Run(ctx context.Context, settingsPath string, reload <-chan os.Signal, logWriter *recorder.AsyncWriter, logger hclog.Logger) error {
	settings, err := platform.ReadSettings(settingsPath)
	if err != nil {
		return err
	}
	supervisor, err := start(settings, logWriter, logger)
	if err != nil {
		return err
	}
	logger.Info("instance started", "instance", settings.Name, "domain", settings.Domain, "callers", settings.CallerAddress)
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-reload:
			supervisor.reload(settingsPath, true)
		case <-poll.C:
			supervisor.reload(settingsPath, false)
		case err := <-supervisor.serveErrors:
			supervisor.close()
			return err
		case <-ctx.Done():
			supervisor.stop()
			return nil
		}
	}
}

// weight returns the instance's share of common work relative to other instances: the part of a core that both its
// processor share and its link allow for.
func weight(settings platform.Settings) float64 {
	if settings.LinkMbps <= 0 {
		return settings.ProcessorShare
	}
	return min(settings.ProcessorShare, settings.LinkMbps/mbpsPerCore)
}

func start(settings platform.Settings, logWriter *recorder.AsyncWriter, logger hclog.Logger) (*Supervisor, error) {
	ctx, cancel := context.WithCancel(context.Background())
	hello := linker.Hello{Domain: settings.Domain, Name: settings.Name, Incarnation: uuid.NewString(), Address: settings.PeerAddress, Weight: weight(settings)}
	targetClient := platform.NewTargetClient(clocker.Now)
	targetClient.SetLogger(logger)
	jobExecutor := executor.New(hello, settings.LinkMbps, targetClient, clocker.Now, logger)
	targetClient.WithholdStarts(jobExecutor.Withholds)
	jobExecutor.SetEvacuationBound(time.Duration(settings.EvacuateMS) * time.Millisecond)
	limits := linker.DefaultLimits()
	limits.MaxRemoteLinks, limits.IdleTimeout, limits.IOTimeout = maxRemoteLinks, 0, linkTimeout
	links := linker.New(hello, limits, logger, jobExecutor.Peers().Receive)
	jobExecutor.Peers().SetLinks(links)
	jobExecutor.SetColdBounds(executor.ColdBounds{Overage: settings.ColdOverage, Slack: settings.ColdSlack})
	supervisor := &Supervisor{
		settings:     settings,
		logWriter:    logWriter,
		logger:       logger,
		store:        platform.NewStore(settings.StoreAddress),
		targetClient: targetClient,
		executor:     jobExecutor,
		api:          platform.NewAPI(jobExecutor, clocker.Now, logger),
		links:        links,
		targets:      newTargetRegistry(logger),
		ctx:          ctx,
		cancel:       cancel,
		serveErrors:  make(chan error, 4),
	}
	listeners := []struct {
		address string
		handler http.Handler
	}{
		{settings.CallerAddress, supervisor.api},
		{settings.ReadinessAddress, http.HandlerFunc(supervisor.serveReadiness)},
		{settings.PeerAddress, supervisor.peerHandler()},
	}
	for _, listener := range listeners {
		if err := supervisor.listen(listener.address, listener.handler); err != nil {
			supervisor.close()
			return nil, err
		}
	}
	supervisor.publisher = newPublisher(ctx, hello, supervisor.store, clocker.Now, logger)
	supervisor.peers = newPeerRegistry(hello, supervisor.publisher)
	supervisor.followTopics()
	cancellations := newCancellationArchive(ctx, settings.Name, supervisor.store, jobExecutor, clocker.Now, logger)
	jobExecutor.SetCancellationArchive(cancellations)
	supervisor.group.Go(cancellations.follow)
	supervisor.group.Go(supervisor.logLoad)
	return supervisor, nil
}

func (supervisor *Supervisor) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ConnContext: platform.ConnectionContext, ErrorLog: supervisor.logger.StandardLogger(nil)}
	connections := drainer.New(listener, server)
	supervisor.servers, supervisor.drainers = append(supervisor.servers, server), append(supervisor.drainers, connections)
	supervisor.group.Go(func() {
		if err := server.Serve(connections); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			supervisor.serveErrors <- eris.Wrapf(err, "serving %s", address)
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
	if configuration := supervisor.api.Configuration(); configuration != nil {
		version = configuration.Version
	}
	metrics.WriteGaugeUint64(writer, "hyssoplift_configuration_version", uint64(version))
	metrics.WriteCounterUint64(writer, "hyssoplift_panics_total", uint64(supervisor.api.Panics()))
	metrics.WriteCounterUint64(writer, "hyssoplift_log_lines_dropped_total", uint64(supervisor.logWriter.Dropped()))
	supervisor.writeCounters(writer)
}

// serveReadiness answers the readiness checks of the platform: 200 if callers may open new connections, otherwise 503.
func (supervisor *Supervisor) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	supervisor.mu.Lock()
	ready := !supervisor.stopping
	supervisor.mu.Unlock()
	if !ready || supervisor.api.Configuration() == nil || !supervisor.executor.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// followTopics starts to follow the configuration, the targets and the other instances.
func (supervisor *Supervisor) followTopics() {
	supervisor.group.Go(func() {
		follower.Follow(supervisor.ctx, supervisor.store, platform.ConfigurationTopic, configurationPolling, supervisor.logger, supervisor.applyOperatorRecords)
	})
	supervisor.group.Go(func() {
		follower.Follow(supervisor.ctx, supervisor.store, platform.TargetTopic, targetPolling, supervisor.logger, func(update follower.Update) {
			if supervisor.targets.update(update) {
				supervisor.executor.SetTargets(supervisor.targets.list())
			}
		})
	})
	supervisor.group.Go(func() {
		follower.Follow(supervisor.ctx, supervisor.store, platform.InstanceTopic, instancePolling, supervisor.logger, func(update follower.Update) {
			supervisor.links.SetMembers(supervisor.peers.update(update))
		})
	})
}

// applyConfiguration puts the configuration with the highest version in force. It never reverts to a lower version.
func (supervisor *Supervisor) applyConfiguration(update follower.Update) {
	newest := supervisor.api.Configuration()
	current := newest
	for _, record := range update.Records {
		if record.Key != platform.ConfigurationKey || len(record.Value) == 0 {
			continue
		}
		configuration, err := platform.DecodeConfiguration(record.Value)
		if err != nil {
			supervisor.logger.Error("cannot decode configuration", "offset", record.Offset, "error", eris.ToString(err, false))
			continue
		}
		if newest == nil || configuration.Version > newest.Version {
			newest = configuration
		}
	}
	if newest != current {
		supervisor.api.Configure(newest)
		supervisor.executor.SetServices(newest.Services())
		supervisor.logger.Info("configuration in force", "version", newest.Version, "routes", newest.RouteCount())
	}
}

// reload reads the settings file again. The store address and the grace period take effect at once, other settings at
// the next start, since the listeners stay open until the process ends. requested means that a signal asked for the
// reload.
func (supervisor *Supervisor) reload(path string, requested bool) {
	settings, err := platform.ReadSettings(path)
	previous := supervisor.settings
	switch {
	case err != nil && (requested || !supervisor.settingsUnreadable):
		supervisor.logger.Error("cannot reload settings, keeping the current ones", "error", eris.ToString(err, false))
	case err == nil && settings == previous && requested:
		supervisor.logger.Info("settings unchanged")
	}
	supervisor.settingsUnreadable = err != nil
	if err != nil || settings == previous || settings == supervisor.deferredSettings {
		return
	}
	supervisor.store.SetAddress(settings.StoreAddress)
	supervisor.settings.StoreAddress, supervisor.settings.GraceMS = settings.StoreAddress, settings.GraceMS
	if settings != supervisor.settings {
		supervisor.deferredSettings = settings
		supervisor.logger.Warn("some changed settings take effect only after a restart", "instance", settings.Name)
	}
	supervisor.logger.Info("settings changed", "store", settings.StoreAddress, "grace-ms", settings.GraceMS)
}

// stop shuts the instance down without interrupting requests. It first fails the readiness checks, so that the platform
// sends no new connections. It then ends the callers' connections, which waits for open requests, and finally waits for
// the jobs that it runs for other instances. Jobs that cannot end in the grace period are answered at its end.
func (supervisor *Supervisor) stop() {
	began := clocker.Now()
	stopsAt := began.Add(time.Duration(supervisor.settings.GraceMS)*time.Millisecond - exitReserve)
	supervisor.logger.Info("instance stopping", "instance", supervisor.settings.Name)
	supervisor.mu.Lock()
	supervisor.stopping = true
	supervisor.mu.Unlock()
	supervisor.api.DisableKeepAlives()
	supervisor.executor.Leave(stopsAt)
	time.Sleep(notReadyDelay)
	ctx, cancel := context.WithTimeout(context.Background(), stopsAt.Add(deliveryPeriod).Sub(clocker.Now()))
	defer cancel()
	if err := supervisor.drainers[0].Drain(ctx); err != nil {
		supervisor.logger.Warn("connections cut off at the end of the grace period", "error", err.Error())
	}
	// Jobs that this instance runs for other instances have no caller's connection here.
	supervisor.executor.Drain(ctx)
	supervisor.links.Flush(ctx)
	exit, cancelExit := context.WithTimeout(context.Background(), stopsAt.Add(exitReserve-exitMargin).Sub(clocker.Now()))
	defer cancelExit()
	supervisor.publisher.unregister(exit)
	supervisor.logger.Info("instance stopped", "instance", supervisor.settings.Name, "after-ms", clocker.Now().Sub(began).Milliseconds())
	supervisor.closeUntil(exit)
}

// closeUntil closes the instance, or lets the exit of the process end the rest when ctx is done: hundreds of requests to targets have to
// be cancelled, which takes an instance with a small processor share most of a second.
func (supervisor *Supervisor) closeUntil(ctx context.Context) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		supervisor.close()
	}()
	select {
	case <-closed:
	case <-ctx.Done():
		supervisor.logger.Info("exiting before all components have ended", "instance", supervisor.settings.Name)
	}
}

// close ends all components and logs how long each kind took.
func (supervisor *Supervisor) close() {
	supervisor.cancel()
	fields := []any{"instance", supervisor.settings.Name}
	for _, part := range []struct {
		field string
		end   func()
	}{
		{"servers-ms", supervisor.closeServers},
		{"links-ms", supervisor.links.Close},
		{"executor-ms", supervisor.executor.Close},
		{"others-ms", supervisor.group.Wait},
	} {
		began := clocker.Now()
		part.end()
		fields = append(fields, part.field, clocker.Now().Sub(began).Milliseconds())
	}
	supervisor.logger.Info("instance ended", fields...)
}

func (supervisor *Supervisor) closeServers() {
	for _, server := range supervisor.servers {
		// The process is about to exit, so errors of closing are irrelevant.
		_ = server.Close()
	}
}
