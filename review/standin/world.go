package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// instanceBinary and instanceArgument are the command of the deploy file.
	instanceBinary   = "target/hyssoplift"
	instanceArgument = "platform"
	host             = "jobs.example"
	service          = "booking"
	// largeShare and smallShare are the parts of a core that instances may take; small ones delegate their jobs to large ones.
	largeShare = 0.4
	smallShare = 0.07
)

// machine is a machine that runs one instance.
type machine struct {
	name, zone, ip string
	index          int
	// cut means that the machine is cut off from the other machines and the store, and storePort is the port of its store.
	cut       atomic.Bool
	storePort int
	// cpuShare is the part of a core that the instance may take.
	cpuShare float64

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

// world is a small deployment: a store, runners, machines and clients.
type world struct {
	record   *record
	trouble  bool
	folder   string
	store    *store
	machines []*machine
	runners  []*runner
	// ports: callers, readiness, first and last port for instances, store, runners.
	ports [6]int
	// mesh means that machines reach each other and the store through proxies.
	mesh bool
	// boot is true for the first start of all machines.
	boot bool
	// large is how many machines of each zone are large, if not all are alike.
	large int
	// lateness is the longest delay of the stand-in itself in nanoseconds, and lateAt when it was last late, since 1970.
	lateness, lateAt atomic.Int64
}

func newWorld(record *record, trouble bool) *world {
	return &world{record: record, trouble: trouble, store: newStore(), boot: true}
}

// zone describes the part of a deployment that lies in one zone.
type zone struct {
	name     string
	machines int
	runners  int
}

// start starts the store, the runners and the instances, and waits until all instances are ready.
func (world *world) start(zones []zone, capacity int64) error {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	world.folder = folder
	if err := world.choosePorts(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", world.ports[4]))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: world.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	world.configure()
	for _, zone := range zones {
		for range zone.runners {
			number := len(world.runners) + 1
			address := fmt.Sprintf("127.0.3.%d:%d", number, world.ports[5])
			runner := newRunner(world, fmt.Sprintf("i-%03d", number), zone.name, service, address, capacity, []string{"a", "b"}[number%2])
			if err := runner.serve(); err != nil {
				return err
			}
			world.runners = append(world.runners, runner)
		}
		for index := range zone.machines {
			number := len(world.machines) + 1
			cpuShare := largeShare
			if world.large > 0 && index >= world.large {
				cpuShare = smallShare
			}
			world.machines = append(world.machines, &machine{
				name: fmt.Sprintf("frontend-%s-%d", zone.name, index+1), zone: zone.name, ip: fmt.Sprintf("127.0.2.%d", number), index: number - 1,
				storePort: world.ports[4], cpuShare: cpuShare,
			})
		}
	}
	if world.mesh {
		if err := world.joinMesh(); err != nil {
			return err
		}
	}
	for _, machine := range world.machines {
		if err := world.startInstance(machine); err != nil {
			return err
		}
	}
	for _, machine := range world.machines {
		if err := world.awaitReady(machine, 10*time.Second); err != nil {
			return err
		}
	}
	world.boot = false
	// The lead of a day: all instances know each other before the first request.
	time.Sleep(4 * time.Second)
	return nil
}

// choosePorts chooses free ports, which are the same on all machines.
func (world *world) choosePorts() error {
	for i := range world.ports {
		listener, err := net.Listen("tcp", "127.0.2.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		world.ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// configure writes the operator's configuration.
func (world *world) configure() {
	world.store.put("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-1", "host": host, "prefix": "/plan/", "kind": "non_idempotent", "timeoutMs": 10000, "targetLatencyMs": 60, "priority": 1,
			"service": service, "maxAttempts": 3, "targetFactor": 1.6,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// settings returns the settings file of a machine.
func (world *world) settings(machine *machine) string {
	var zones []string
	for _, other := range world.machines {
		if line := fmt.Sprintf("%s = \"guj\"", other.zone); !slices.Contains(zones, line) {
			zones = append(zones, line)
		}
	}
	return fmt.Sprintf(`nodeId = "%s"
role = "dispatcher"
machineClass = "frontend"
serves = ["frontend"]
ip = "%s"
zone = "%s"
region = "guj"
portRange = [%d,%d]
seeds = []
bootstrap = %t
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
controlMode = "invoke"
[zones]
%s
[listen]
frontend = "%s:%d"
readiness = "%s:%d"
[limits]
cpuShare = %.2f
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regionCount = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
recoveryS = 12
holdMaxMs = 1000
stopMs = 50
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 2
checkpointS = 0.5
restoreMs = 100
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
fencing = true
leaseMs = 3000
thawMs = 300
rateMs = 100
interferenceMs = 4000
retransmitMs = 1300
[platform]
addr = "127.0.0.1:%d"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`, machine.name, machine.ip, machine.zone, world.ports[2], max(world.ports[2], world.ports[3]), world.boot, strings.Join(zones, "\n"),
		machine.ip, world.ports[0], machine.ip, world.ports[1], machine.cpuShare, machine.storePort)
}

// startInstance starts the instance of a machine with the command of the deploy file.
func (world *world) startInstance(machine *machine) error {
	path := filepath.Join(world.folder, machine.name+".toml")
	if err := os.WriteFile(path, []byte(world.settings(machine)), 0o600); err != nil {
		return err
	}
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if machine.log == nil {
		log, err := os.Create(filepath.Join(world.folder, machine.name+".log"))
		if err != nil {
			return err
		}
		machine.log = log
	}
	process := exec.Command(instanceBinary, instanceArgument)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + world.folder, "HYSSOPLIFT_NODE_FILE=" + path}
	process.Stdout, process.Stderr = machine.log, machine.log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	machine.process, machine.ended = process, ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	world.record.note("machine %s: instance started", machine.name)
	return nil
}

// kill kills the instance of a machine and waits until it is gone.
func (world *world) kill(machine *machine) {
	machine.mu.Lock()
	process, ended := machine.process, machine.ended
	machine.process = nil
	machine.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-ended
	world.record.note("machine %s: instance killed (SIGKILL)", machine.name)
}

// restartKilled kills the instance of a machine and starts it again after restartDelay.
func (world *world) restartKilled(machine *machine) error {
	world.kill(machine)
	time.Sleep(restartDelay)
	return world.startInstance(machine)
}

// signal sends a signal to the instance of a machine, if it was not killed.
func (machine *machine) signal(signal syscall.Signal) {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if machine.process != nil {
		_ = machine.process.Process.Signal(signal)
	}
}

// runs reports whether the instance of a machine was started and not killed.
func (machine *machine) runs() bool {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	return machine.process != nil
}

// ready asks an instance for its readiness.
func (world *world) ready(machine *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/hyssoplift/readyz", machine.ip, world.ports[1]), nil)
	if err != nil {
		return false
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (world *world) awaitReady(machine *machine, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if world.ready(machine) {
			world.record.note("machine %s: ready", machine.name)
			return nil
		}
	}
	return errors.New("instance of " + machine.name + " is not ready in time")
}

// close ends all processes and removes the temporary folder.
func (world *world) close() {
	for _, machine := range world.machines {
		world.kill(machine)
		if machine.log != nil {
			_ = machine.log.Close()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(world.folder))
	}
	if world.folder != "" {
		_ = os.RemoveAll(world.folder)
	}
}

// intervals returns the times of all runs.
func (world *world) intervals() []interval {
	var all []interval
	now := time.Now()
	for _, runner := range world.runners {
		runner.mu.Lock()
		for _, known := range runner.intervals {
			copied := *known
			if copied.end.IsZero() {
				copied.end, copied.how = now, "at work"
			}
			all = append(all, copied)
		}
		runner.mu.Unlock()
	}
	return all
}

// checkTwice records each pair of runs of one task that were at work at the same time.
func (world *world) checkTwice() {
	all := world.intervals()
	for i := range all {
		for j := i + 1; j < len(all); j++ {
			a, b := &all[i], &all[j]
			if a.task != b.task || !a.began.Before(b.end) || !b.began.Before(a.end) {
				continue
			}
			from, to := a.began, a.end
			if b.began.After(from) {
				from = b.began
			}
			if b.end.Before(to) {
				to = b.end
			}
			world.record.breakRule("TWICE", "task %s ran on %s (%.3f to %.3f, %s) and on %s (%.3f to %.3f, %s): %d ms at the same time", a.task,
				a.runner, world.record.seconds(a.began), world.record.seconds(a.end), a.how,
				b.runner, world.record.seconds(b.began), world.record.seconds(b.end), b.how, to.Sub(from).Milliseconds())
		}
	}
}
