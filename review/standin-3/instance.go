package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The ports of an instance, which are the same on all machines.
type ports struct{ frontend, readiness, control, first int }

// instance is a process of the system on a machine of its own.
type instance struct {
	deployment *deployment
	name       string
	ip         string
	zone       string
	command    *exec.Cmd
	ended      chan struct{}
	// share is its processor share.
	share float64
}

// deployment holds what the processes have in common.
type deployment struct {
	record    *record
	store     *store
	fleet     *fleet
	folder    string
	program   string
	ports     ports
	zones     []string
	instances []*instance
}

// newDeployment starts a store with a configuration of one route, and no instance.
func newDeployment(record *record, program string, zones ...string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	store, err := startStore(record, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	added := &deployment{
		record: record, store: store, fleet: &fleet{record: record, store: store, service: "booking"}, folder: folder, program: program, zones: zones,
	}
	if added.ports, err = freePorts(8); err != nil {
		return nil, err
	}
	added.configure(1, "q")
	return added, nil
}

// configure writes a configuration with a route of the given prefix.
func (deployment *deployment) configure(version int, prefix string) {
	deployment.store.putJSON("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "queue-" + prefix, "host": "q.example", "prefix": "/" + prefix + "/", "service": "booking", "timeoutMs": 20000, "priority": 0, "maxAttempts": 3, "targetFactor": 3,
			"targetLatencyMs": 3000,
		}},
		"services": []map[string]any{{"name": "booking", "maxConns": 64, "enforcesCapacity": true, "healthPath": "/healthz"}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
}

// freePorts returns ports that are free on the first addresses of the machines.
func freePorts(machines int) (ports, error) {
	for base := 21000 + os.Getpid()%400*20; base < 60000; base += 40 {
		free := true
		for machine := range machines {
			for offset := range 20 {
				listener, err := net.Listen("tcp", fmt.Sprintf("127.0.3.%d:%d", machine+1, base+offset))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 4}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

// settings returns the settings file of an instance.
func (instance *instance) settings(bootstrap bool) string {
	deployment := instance.deployment
	ports := deployment.ports
	var text strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&text, format+"\n", args...) }
	line("nodeId = %q\nrole = \"dispatcher\"\nmachineClass = \"frontend\"\nserves = [\"frontend\"]\nip = %q\nzone = %q\nregion = \"guj\"", instance.name, instance.ip, instance.zone)
	line("portRange = [%d,%d]\nseeds = []\nbootstrap = %t\nlossCounts = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500", ports.first, ports.first+15, bootstrap)
	line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\ncontrolMode = \"invoke\"")
	line("[zones]")
	for _, zone := range deployment.zones {
		line("%s = \"guj\"", zone)
	}
	line("[listen]\nfrontend = \"%s:%d\"\nreadiness = \"%s:%d\"\ncontrol = \"%s:%d\"", instance.ip, ports.frontend, instance.ip, ports.readiness, instance.ip, ports.control)
	line("[limits]\ncpuShare = %g\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 2\nzones = 1\nregionCount = 0", instance.share)
	line("[bounds]\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250")
	line("outerMs = 5000\nrecoveryS = 12\nholdMaxMs = 1000\nstopMs = 50\ncancel_ms = 3000\nvisible_ms = 3000\nfencing = true\nleaseMs = 3000\nretransmitMs = 1300")
	line("[platform]\naddr = %q\nform = \"log\"\nwritesPerS = 600\nreadsPerS = 2000\nparts = 8\nappendMs = 4.0\nkeep_s = 300", deployment.store.address)
	return text.String()
}

// add adds an instance, which is not started.
func (deployment *deployment) add(name, zone string, share float64) *instance {
	added := &instance{deployment: deployment, name: name, zone: zone, share: share, ip: fmt.Sprintf("127.0.3.%d", len(deployment.instances)+1)}
	deployment.instances = append(deployment.instances, added)
	return added
}

// start starts the process of an instance.
func (instance *instance) start(bootstrap bool) error {
	deployment := instance.deployment
	path := filepath.Join(deployment.folder, instance.name+".toml")
	if err := os.WriteFile(path, []byte(instance.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(deployment.folder, instance.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(deployment.program, "platform")
	command.Env = []string{"HYSSOPLIFT_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + deployment.folder}
	command.Stdout, command.Stderr = log, log
	// If the case is ended from outside, its processes end too.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneProcessor(command); err != nil {
		_ = log.Close()
		return err
	}
	deployment.record.line("instance %s started, process %d", instance.name, command.Process.Pid)
	ended := make(chan struct{})
	instance.command, instance.ended = command, ended
	go func() {
		err := command.Wait()
		deployment.record.line("instance %s ended: %v", instance.name, err)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// startOnOneProcessor starts a process that sees one processor, as the machines of the pages have (DEPLOY.md: "the processor list report
// the machine's memory and one core").
func startOnOneProcessor(command *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &all) }()
	chosen := rand.IntN(all.Count())
	var one unix.CPUSet
	for processor := range 1024 {
		if all.IsSet(processor) {
			if chosen == 0 {
				one.Set(processor)
				break
			}
			chosen--
		}
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	return command.Start()
}

// signal sends a signal to the process of an instance.
func (instance *instance) signal(signal syscall.Signal) {
	instance.deployment.record.line("instance %s gets %s", instance.name, signal)
	_ = instance.command.Process.Signal(signal)
}

// hasEnded reports whether the process has ended.
func (instance *instance) hasEnded() bool {
	select {
	case <-instance.ended:
		return true
	default:
		return false
	}
}

// awaitEnd waits for the end of the process, and reports whether it came in time.
func (instance *instance) awaitEnd(timeout time.Duration) bool {
	select {
	case <-instance.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// isReady asks an instance whether it is ready.
func (instance *instance) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/hyssoplift/readyz", instance.ip, instance.deployment.ports.readiness))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until an instance is ready.
func (instance *instance) awaitReady() error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if instance.isReady() {
			instance.deployment.record.line("instance %s is ready", instance.name)
			return nil
		}
	}
	return fmt.Errorf("instance %s does not become ready", instance.name)
}

// startAll starts all instances together and waits until they are ready.
func (deployment *deployment) startAll() error {
	for _, instance := range deployment.instances {
		if err := instance.start(true); err != nil {
			return err
		}
	}
	for _, instance := range deployment.instances {
		if err := instance.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the folder, unless KEEP is set in the environment.
func (deployment *deployment) close() {
	for _, instance := range deployment.instances {
		if instance.command != nil && !instance.hasEnded() {
			_ = instance.command.Process.Signal(syscall.SIGCONT)
			_ = instance.command.Process.Kill()
			<-instance.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	} else {
		fmt.Println("kept", deployment.folder)
	}
}
