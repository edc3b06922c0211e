package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the parts of one case and judges what they see.
type world struct {
	record *record
	store  *store
	folder string

	mu       sync.Mutex
	runners  []*runner
	nodes    []*node
	jobs     map[string]*job
	active   map[string][]activeRun
	done     map[string]bool
	breaks   []string
	storeURL string
}

type activeRun struct {
	runner *runner
	run    *run
}

// job is a job of the clients of a case.
type job struct {
	id        string
	body      map[string]any
	spec      string
	phases    []phase
	cancelled time.Time // when the cancelling was acknowledged
}

type phase struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"memMb,omitempty"`
	EstRuntimeMS  int64  `json:"estRuntimeMs"`
	DependsOn     []int  `json:"dependsOn,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
}

const (
	cancelTime = 3 * time.Second
	// resend is after how long a client sends a job again that need not be kept.
	resend = 1300 * time.Millisecond
	host   = "desk.example"
)

func newWorld(folder string) (*world, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	world := &world{record: record, folder: temporary, jobs: make(map[string]*job), active: make(map[string][]activeRun), done: make(map[string]bool)}
	world.store = newStore(record)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	world.storeURL = listener.Addr().String()
	go func() { _ = http.Serve(listener, world.store) }()
	return world, nil
}

// configure writes the operator's configuration: one queue for each service.
func (world *world) configure(version int, services ...string) {
	routes := []map[string]any{}
	names := []map[string]any{}
	for number, service := range services {
		routes = append(routes, map[string]any{
			"name": "queue-" + service, "host": host, "prefix": fmt.Sprintf("/q%d/", number), "service": service, "timeoutMs": 30000,
			"targetLatencyMs": 4000, "targetFactor": 3.0, "priority": 0, "maxAttempts": 3,
		})
		names = append(names, map[string]any{"name": service, "enforcesCapacity": true})
	}
	data, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": names, "limits": map[string]any{"maxBodyBytes": 262144}})
	world.store.put("keyed.op", "config", data)
	world.record.line("operator: configuration %d is acknowledged", version)
}

// addRunner starts a runner.
func (world *world) addRunner(id, service, zone string, capacity int64, labels ...string) (*runner, error) {
	added := &runner{id: id, service: service, zone: zone, address: "127.0.0.1:0", world: world, capacity: capacity, held: make(chan command, 1)}
	world.runners = append(world.runners, added)
	return added, added.start(labels)
}

// node is an instance of the system: one process, started with the command of the deploy file.
type node struct {
	name     string
	zone     string
	ip       string
	frontend string
	ready    string
	settings string
	world    *world
	command  *exec.Cmd
	exited   chan struct{}
}

func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// addNode starts an instance on a machine with the given share of a core.
func (world *world) addNode(name, zone, ip string, share float64) (*node, error) {
	base := freePort(ip)
	added := &node{
		name: name, zone: zone, ip: ip, world: world,
		frontend: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip)),
		settings: filepath.Join(world.folder, name+".toml"),
	}
	text := fmt.Sprintf(`nodeId = %q
role = "dispatcher"
machineClass = "frontend"
serves = ["frontend"]
ip = %q
zone = %q
region = "bac-bo"
portRange = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
controlMode = "invoke"
[listen]
frontend = %q
readiness = %q
[limits]
cpuShare = %v
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[faultTolerance]
machines = 2
zones = 1
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
recoveryS = 12
holdMaxMs = 1000
stopMs = 50
cancel_ms = 3000
visible_ms = 3000
retransmitMs = 1300
[platform]
addr = %q
form = "log"
writesPerS = 600
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
`, name, ip, zone, base, base, added.frontend, added.ready, share, world.storeURL)
	if err := os.WriteFile(added.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	world.nodes = append(world.nodes, added)
	return added, added.start()
}

func (node *node) start() error {
	log, err := os.OpenFile(filepath.Join(node.world.folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/hyssoplift", "platform")
	command.Env = []string{"HYSSOPLIFT_NODE_FILE=" + node.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	// If the case ends early, its processes end too.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	node.command, node.exited = command, make(chan struct{})
	exited := node.exited
	node.world.record.line("machine %s: process started", node.name)
	go func() {
		err := command.Wait()
		node.world.record.line("machine %s: process ended (%v)", node.name, err)
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (node *node) signal(signal syscall.Signal) {
	node.world.record.line("machine %s: %s", node.name, signal)
	_ = node.command.Process.Signal(signal)
}

func (node *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + node.ready + "/hyssoplift/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the nodes say that they are ready.
func (world *world) awaitReady(nodes ...*node) error {
	deadline := time.Now().Add(15 * time.Second)
	for _, node := range nodes {
		for !node.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("machine %s is not ready", node.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes of the case.
func (world *world) close() {
	for _, node := range world.nodes {
		_ = node.command.Process.Signal(syscall.SIGCONT)
		_ = node.command.Process.Kill()
		<-node.exited
	}
	world.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(world.folder)
	}
}

// broken records that a rule was broken.
func (world *world) broken(rule, format string, values ...any) {
	text := rule + ": " + fmt.Sprintf(format, values...)
	world.record.line("BROKEN %s", text)
	world.mu.Lock()
	defer world.mu.Unlock()
	world.breaks = append(world.breaks, text)
}

// begins judges the start of a run.
func (world *world) begins(runner *runner, started *run, spec string) {
	world.record.line("runner %s: starts %s attempt %d, generation number %d", runner.id, started.task, started.attempt, started.token)
	parts := strings.Split(started.task, ".")
	world.mu.Lock()
	job := world.jobs[parts[0]]
	others := world.active[started.task]
	world.active[started.task] = append(slices.Clone(others), activeRun{runner, started})
	world.mu.Unlock()
	if job == nil || len(parts) != 4 {
		world.broken("UNASKED", "runner %s is told to start %s, which no client sent", runner.id, started.task)
		return
	}
	for _, other := range others {
		world.broken("TWICE", "%s runs as attempt %d on %s since %s, and now as attempt %d on %s", started.task, other.run.attempt, other.runner.id,
			time.Since(other.run.begun).Round(time.Millisecond), started.attempt, runner.id)
	}
	var step int
	_, _ = fmt.Sscan(parts[2], &step)
	phase := job.phases[step]
	world.mu.Lock()
	cancelled := job.cancelled
	var missing []string
	for _, earlier := range phase.DependsOn {
		for index := range job.phases[earlier].Count {
			if name := fmt.Sprintf("%s.0.%d.%d", job.id, earlier, index); !world.done[name] {
				missing = append(missing, name)
			}
		}
	}
	siblings := 0
	for task, runs := range world.active {
		if strings.HasPrefix(task, fmt.Sprintf("%s.0.%d.", job.id, step)) {
			for _, active := range runs {
				if active.runner == runner {
					siblings++
				}
			}
		}
	}
	world.mu.Unlock()
	if spec != job.spec {
		world.broken("UNASKED", "%s is started with another spec", started.task)
	}
	if len(missing) > 0 {
		world.broken("ORDER", "%s is started before %s have ended done", started.task, strings.Join(missing, ", "))
	}
	if phase.RequiredLabel != "" && !slices.Contains(runner.labels, phase.RequiredLabel) {
		world.broken("ROUTE", "%s, which requires the label %s, is started with generation number %d on runner %s, born %d, whose labels are %v", started.task, phase.RequiredLabel, started.token, runner.id, runner.born, runner.labels)
	}
	if phase.AntiAffinity > 0 && siblings > phase.AntiAffinity {
		world.broken("ROUTE", "%d tasks of step %d of %s run on runner %s, at most %d may", siblings, step, job.id, runner.id, phase.AntiAffinity)
	}
	if !cancelled.IsZero() && time.Since(cancelled) > cancelTime {
		world.broken("UNASKED", "%s is started %.1f s after its cancelling was acknowledged", started.task, time.Since(cancelled).Seconds())
	}
}

// ran records the end of a run.
func (world *world) ran(runner *runner, ending *run, how string) {
	world.record.line("runner %s: %s attempt %d ends %s after %s", runner.id, ending.task, ending.attempt, how, time.Since(ending.begun).Round(time.Millisecond))
	world.mu.Lock()
	defer world.mu.Unlock()
	world.active[ending.task] = slices.DeleteFunc(world.active[ending.task], func(active activeRun) bool { return active.run == ending })
	if len(world.active[ending.task]) == 0 {
		delete(world.active, ending.task)
	}
	if how == "done" {
		world.done[ending.task] = true
	}
}

// runningOf returns the runs of a job that go on.
func (world *world) runningOf(id string) []string {
	world.mu.Lock()
	defer world.mu.Unlock()
	var runs []string
	for task, active := range world.active {
		for _, run := range active {
			if strings.HasPrefix(task, id+".") {
				runs = append(runs, fmt.Sprintf("%s attempt %d on %s", task, run.run.attempt, run.runner.id))
			}
		}
	}
	slices.Sort(runs)
	return runs
}
