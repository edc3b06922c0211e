package executor

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
	"github.com/hyssoplift/hyssoplift/sleeper"
)

var (
	soakSeeds = flag.Int("soak-seeds", 1, "number of seeds of the fault soak")
	soakFirst = flag.Uint64("soak-first", 1, "first seed of the fault soak")
)

const (
	// soakDuration is how long each seed submits jobs.
	soakDuration = 4 * time.Second
	// resendDelay is how long a caller waits before it sends a job with an unknown outcome again; the platform's
	// callers use the same delay.
	resendDelay = 1300 * time.Millisecond
	// crashDownTime is how long a target is down that a task crashed.
	crashDownTime = 400 * time.Millisecond
	// crashesAllowed is the number of crashes under a task after which it must not start again and again.
	crashesAllowed = 3
	// crashesToGiveUp is the number of crashes under a task, whatever caused them, after which it may be given up. While
	// links are silenced, instances cannot keep the tasks of others away from a task that is to run alone.
	crashesToGiveUp = 2
	// crashingBody is the body of jobs whose tasks crash their targets.
	crashingBody = "crash"
)

// proxy forwards connections to an instance, and can reset or stall them.
type proxy struct {
	listener net.Listener
	upstream string
	silent   atomic.Bool

	mu          sync.Mutex
	connections map[net.Conn]bool
}

func newProxy(t *testing.T, upstream string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &proxy{listener: listener, upstream: upstream, connections: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = listener.Close(); proxy.reset() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			dialed, err := net.Dial("tcp", upstream)
			if err != nil {
				_ = accepted.Close()
				continue
			}
			go proxy.forward(accepted, dialed)
			go proxy.forward(dialed, accepted)
		}
	}()
	return proxy
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

// forward copies one direction of a connection. Once it has read while silent is set, it drops all further data.
func (proxy *proxy) forward(from, to net.Conn) {
	proxy.mu.Lock()
	proxy.connections[from] = true
	proxy.mu.Unlock()
	buffer := make([]byte, 32<<10)
	mute := false
	for {
		count, err := from.Read(buffer)
		mute = mute || proxy.silent.Load()
		if count > 0 && !mute {
			_, err = to.Write(buffer[:count])
		}
		if err != nil && (err != io.EOF || !mute) {
			break
		}
		if err != nil {
			// The end of a silenced connection is not passed on. It lasts until it is reset.
			time.Sleep(10 * time.Millisecond)
		}
	}
	_, _ = from.Close(), to.Close()
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	delete(proxy.connections, from)
}

// reset resets all connections.
func (proxy *proxy) reset() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for connection := range proxy.connections {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}

// soak is one seed of the fault soak: two small and two large instances whose links run through proxies.
type soak struct {
	*leasedTargets
	t       *testing.T
	members []*member
	proxies []*proxy
	logs    logBuffer
	// failures holds the jobs that were answered failed; guarded by the lock of the targets.
	failures []failure
	// complete, failed, refused and unknown count outcomes, and cancelled counts callers that left.
	complete, failed, refused, unknown, cancelled atomic.Int64
}

// failure is a job that was answered failed.
type failure struct {
	job    scheduler.Job
	at     time.Time
	detail string
	sound  bool
}

// logBuffer collects log lines that goroutines may still write while a test reads them.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (logs *logBuffer) Write(line []byte) (int, error) {
	logs.mu.Lock()
	defer logs.mu.Unlock()
	return logs.buffer.Write(line)
}

func (logs *logBuffer) String() string {
	logs.mu.Lock()
	defer logs.mu.Unlock()
	return logs.buffer.String()
}

// about returns the lines that mention a job or one of its tasks.
func (logs *logBuffer) about(job string) string {
	mentioned := regexp.MustCompile(`\b` + regexp.QuoteMeta(job) + `\b`)
	var found strings.Builder
	for line := range strings.Lines(logs.String()) {
		if mentioned.MatchString(line) {
			found.WriteString("    " + line)
		}
	}
	return found.String()
}

func newSoak(t *testing.T, targets int) *soak {
	soak := &soak{leasedTargets: newLeasedTargets(targets, 150*time.Millisecond), t: t}
	var peers []linker.Peer
	for number, weight := range []float64{0.1, 0.1, 0.8, 0.8} {
		self := linker.Hello{Domain: "a", Name: fmt.Sprintf("n%d", number), Incarnation: fmt.Sprintf("n%d", number), Weight: weight}
		limits := linker.DefaultLimits()
		limits.IOTimeout, limits.PingInterval = 700*time.Millisecond, 300*time.Millisecond
		logger := hclog.New(&hclog.LoggerOptions{Name: self.Name, Output: &soak.logs, TimeFormat: soakTimeFormat})
		added := newMember(t, self, leasedClient{soak.leasedTargets, self.Name}, limits, soak.infos(), logger)
		proxy := newProxy(t, strings.TrimPrefix(added.server.URL, "http://"))
		soak.members, soak.proxies = append(soak.members, added), append(soak.proxies, proxy)
		peers = append(peers, linker.Peer{Name: self.Name, Incarnation: self.Incarnation, Address: proxy.address()})
	}
	for _, member := range soak.members {
		member.links.SetMembers(peers)
	}
	return soak
}

// submitUntilKnown submits a job, up to three times, until its outcome is not unknown or its caller leaves.
func (soak *soak) submitUntilKnown(random *rand.Rand, id string) {
	leaves, crashes, tasks := random.IntN(8) == 0, random.IntN(60) == 0, 1+random.IntN(3)
	for attempt := range 3 {
		member := soak.members[random.IntN(len(soak.members))]
		job := memoryJob(id, tasks)
		job.Deadline = job.Arrived.Add(2 * time.Second)
		if crashes {
			job.Body, job.Deadline = crashingBody, job.Arrived.Add(6*time.Second)
		}
		ctx, cancel := context.WithCancel(context.Background())
		if leaves {
			time.AfterFunc(time.Duration(random.IntN(200))*time.Millisecond, cancel)
		}
		outcome := member.Submit(ctx, job)
		cancel()
		switch outcome := outcome.(type) {
		case dispatcher.Complete:
			soak.complete.Add(1)
			return
		case dispatcher.Failed:
			soak.recordFailure(failure{job, time.Now(), outcome.Detail(), !crashes})
			return
		case dispatcher.Refused:
			soak.refused.Add(1)
			soak.mu.Lock()
			if started := soak.started[id]; started > 0 && attempt == 0 {
				soak.violate(id, "%s was refused after %d starts", id, started)
			}
			soak.mu.Unlock()
			return
		case nil:
			soak.cancelled.Add(1)
			return
		}
		soak.unknown.Add(1)
		time.Sleep(resendDelay)
	}
}

// recordFailure records a job that was answered failed, which a sound job may be only if enough targets crashed under one
// of its tasks.
func (soak *soak) recordFailure(failed failure) {
	soak.failed.Add(1)
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.failures = append(soak.failures, failed)
	most := 0
	for _, task := range failed.job.Steps[0].Tasks {
		most = max(most, soak.crashesUnder(task))
	}
	if failed.sound && most < crashesToGiveUp {
		soak.violate(failed.job.ID, "%s is sound and was answered failed, although at most %d targets had crashed under a task of it", failed.job.ID, most)
	}
}

// report prints the failed jobs with the runs of their tasks, the violations with what was logged about the job, and the
// counts of outcomes.
func (soak *soak) report(t *testing.T, seed uint64) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	// The logs about these jobs are printed.
	odd := make(map[string]bool)
	soundFailed := 0
	for _, failed := range soak.failures {
		kind := "crashes its targets"
		if failed.sound {
			soundFailed++
			odd[failed.job.ID], kind = true, "is sound"
		}
		t.Logf("seed %d: %s, which %s, was answered failed at %s: %s%s", seed, failed.job.ID, kind, failed.at.Format(soakTimeFormat), failed.detail,
			soak.describeRuns(failed.job.Steps[0].Tasks))
	}
	for _, violation := range soak.violations {
		t.Errorf("seed %d: %s", seed, violation.text)
		odd[violation.job] = true
	}
	for _, job := range slices.Sorted(maps.Keys(odd)) {
		t.Logf("seed %d: logged about %s:\n%s", seed, job, soak.logs.about(job))
	}
	for task, starts := range soak.startsAfter {
		if starts >= crashesAllowed {
			t.Errorf("seed %d: %s was started %d times after %d targets had crashed under it", seed, task, starts, crashesAllowed)
		}
	}
	t.Logf("seed %d: complete %d, failed %d (sound %d), refused %d, unknown %d, cancelled %d; %d targets ended for reasons of their own, %d starts found their target down, %d another incarnation", seed,
		soak.complete.Load(), soak.failed.Load(), soundFailed, soak.refused.Load(), soak.unknown.Load(), soak.cancelled.Load(),
		soak.ends, soak.deadStarts, soak.unnoticed)
	if soak.complete.Load() == 0 {
		t.Errorf("seed %d: no job completed", seed)
	}
}

// injectFaults resets and silences links until ctx is done.
func (soak *soak) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		proxy := soak.proxies[random.IntN(len(soak.proxies))]
		switch random.IntN(3) {
		case 0:
			proxy.reset()
		case 1:
			proxy.silent.Store(true)
			time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
			proxy.silent.Store(false)
		case 2:
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		}
	}
}

// endTargets ends targets for reasons of their own until ctx is done: alone, a third of them within some tens of
// milliseconds, a third behind a cut, or idle ones, whose end no request shows. Some end again when they are back.
func (soak *soak) endTargets(ctx context.Context, random *rand.Rand) {
	milliseconds := func(from, to int) time.Duration { return time.Duration(from+random.IntN(to-from)) * time.Millisecond }
	third := len(soak.targets) / 3
	var ends sync.WaitGroup
	defer ends.Wait()
	for sleeper.For(ctx, milliseconds(200, 1200)) {
		var ids []string
		cause, cutFor := "an end of its own", time.Duration(0)
		switch random.IntN(4) {
		case 0:
			ids = soak.pick(1, false, random)
		case 1:
			ids, cause = soak.pick(third, false, random), "the end of a group"
		case 2:
			ids, cause, cutFor = soak.pick(third, false, random), "the end of a group behind a cut", milliseconds(200, 1200)
		case 3:
			ids, cause = soak.pick(third, true, random), "the end of idle targets"
		}
		for _, id := range ids {
			delay, downTime, backFor, again := milliseconds(0, 60), milliseconds(20, 700), milliseconds(10, 300), random.IntN(4) == 0
			if cutFor > 0 {
				soak.cutOff(id, random.IntN(2) == 0, cutFor)
				delay = milliseconds(0, 200)
			}
			ends.Go(func() {
				time.Sleep(delay)
				soak.endTarget(id, cause, downTime)
				if again {
					time.Sleep(downTime + backFor)
					soak.endTarget(id, cause+" in series", downTime)
				}
			})
		}
	}
}

// rediscover shows the present targets to one instance after another until ctx is done.
func (soak *soak) rediscover(ctx context.Context, random *rand.Rand) {
	for sleeper.For(ctx, time.Duration(random.IntN(250))*time.Millisecond) {
		soak.members[random.IntN(len(soak.members))].SetTargets(soak.infos())
	}
}

// run submits jobs for soakDuration under the given faults, waits for all answers and checks the promises.
func (soak *soak) run(t *testing.T, seed uint64, faults ...func(*soak, context.Context, *rand.Rand)) {
	random := rand.New(rand.NewPCG(seed, 1))
	ctx, cancel := context.WithTimeout(t.Context(), soakDuration)
	defer cancel()
	var work sync.WaitGroup
	faultSeed := random.Uint64()
	for number, inject := range faults {
		faultRandom := rand.New(rand.NewPCG(faultSeed, uint64(2+number)))
		work.Go(func() { inject(soak, ctx, faultRandom) })
	}
	for number := 0; ctx.Err() == nil; number++ {
		callerSeed := random.Uint64()
		work.Go(func() { soak.submitUntilKnown(rand.New(rand.NewPCG(callerSeed, 3)), fmt.Sprintf("j%d", number)) })
		time.Sleep(time.Duration(1+random.IntN(20)) * time.Millisecond)
	}
	work.Wait()
	soak.report(t, seed)
}

// forEachSeed runs a fault soak for the seeds that the flags ask for.
func forEachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	if testing.Short() {
		t.Skip("takes some seconds of real time")
	}
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// While links between instances are reset or stalled and tasks crash their targets, no task may run twice at once, no
// started job may be refused, no sound job may be answered as failed unless enough targets crashed under a task of it, no
// task may crash target after target, and every caller must get an answer. Delegated jobs are at risk, since their runs belong to an instance that may have
// lost track of them.
func TestFaultSoakOfDelegation(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) { newSoak(t, 6).run(t, seed, (*soak).injectFaults) })
}

// The same must hold while targets end for reasons of their own too and come back under the same ID.
func TestFaultSoakOfEndingTargets(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		ending := newSoak(t, 12)
		ending.transit, ending.random = 2*time.Millisecond, rand.New(rand.NewPCG(seed, 4))
		ending.run(t, seed, (*soak).injectFaults, (*soak).endTargets, (*soak).rediscover)
	})
}
