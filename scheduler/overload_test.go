package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Sizes in bytes, with the headers of packets.
const (
	messageBytes = 250
	suspectBytes = 60
	reportBytes  = 30
	startBytes   = 1600
	stopBytes    = 500
	pollBytes    = 500
	connectBytes = 200
)

// narrowLinks models the links of instances on which everything that an instance sends waits in one queue.
type narrowLinks struct {
	simulation *simulation
	bytesPerMS float64
	// idleAt is when the link of each instance has sent what is queued, in milliseconds.
	idleAt   []float64
	reports  [][]CapacityReport
	failures map[string]int
}

// narrowLink is the link of one instance.
type narrowLink struct {
	*narrowLinks
	number int
}

// Backlog implements Link.
func (link narrowLink) Backlog(now time.Time) time.Duration {
	return max(0, time.Duration((link.idleAt[link.number]-float64(link.simulation.now))*float64(time.Millisecond)))
}

// Send implements Link.
func (link narrowLink) Send(int, time.Time) time.Duration {
	return time.Duration(link.transmit(link.number, startBytes, link.simulation.now)) * time.Millisecond
}

// narrowLinksOf gives the instances of a simulation links with the same bandwidth.
func narrowLinksOf(simulation *simulation, bytesPerMS float64) *narrowLinks {
	instances := len(simulation.instances)
	links := &narrowLinks{
		simulation: simulation, bytesPerMS: bytesPerMS, idleAt: make([]float64, instances),
		reports: make([][]CapacityReport, instances), failures: make(map[string]int),
	}
	for number, instance := range simulation.instances {
		instance.scheduler.SetLink(narrowLink{links, number})
	}
	return links
}

// transmit queues bytes on the link of an instance, and returns the milliseconds until they are sent.
func (links *narrowLinks) transmit(number, bytes, now int) int {
	if links == nil {
		return 0
	}
	links.idleAt[number] = max(links.idleAt[number], float64(now)) + float64(bytes)/links.bytesPerMS
	return int(math.Ceil(links.idleAt[number])) - now
}

// request sends a start, which is queued already, or a stop. The time-out allows for the queue as far as the instance knows it.
func (links *narrowLinks) request(simulation *simulation, from int, id string, transmittedAt time.Time, execute func(*simulatedTarget) StartResult, answer func(StartResult, bool)) {
	const timeout = 60
	target := simulation.targets[simulation.index(id)]
	reply := func(delay int, result StartResult, answered bool) {
		simulation.after(delay, func() {
			simulation.acting = from
			answer(result, answered)
			simulation.runActions(from)
		})
	}
	backlog := int(simulation.instances[from].scheduler.link.Backlog(at(simulation.now)) / time.Millisecond)
	sent := int(transmittedAt.Sub(at(simulation.now)) / time.Millisecond)
	switch {
	case transmittedAt.IsZero():
		sent = links.transmit(from, stopBytes, simulation.now)
	case sent <= 0:
		sent = links.transmit(from, startBytes, simulation.now)
	}
	limit := timeout + backlog
	if connected := links.transmit(from, connectBytes, simulation.now); connected > limit {
		reply(limit, StartUnconnected, false)
		return
	}
	simulation.after(sent, func() {
		result := execute(target)
		if sent+1 <= limit {
			reply(1, result, true)
		}
	})
	if sent+1 > limit {
		reply(limit, StartUnanswered, false)
	}
}

// poll polls a target that is not idle. Four polls without an answer in time make the target unreachable.
func (links *narrowLinks) poll(simulation *simulation, number, index int) {
	const timeout, unreachableThreshold = 100, 4
	target, scheduler := simulation.targets[index], simulation.instances[number].scheduler
	state := scheduler.TargetState(target.id)
	if simulation.reader(index) != number || !state.Occupied && !state.Unreachable || state.Unreachable && simulation.now%400 != 0 {
		return
	}
	if state.MayRenew(at(simulation.now)) {
		scheduler.RecordLeaseRenewal(target.id, at(simulation.now))
	}
	sentAt := simulation.now
	limit := timeout + int(scheduler.link.Backlog(at(simulation.now))/time.Millisecond)
	sent := links.transmit(number, pollBytes, simulation.now)
	if sent > limit {
		simulation.after(limit, func() {
			simulation.acting = number
			if links.failures[target.id]++; links.failures[target.id] >= unreachableThreshold {
				scheduler.MarkUnreachable(target.id, false, at(simulation.now))
			}
			simulation.runActions(number)
		})
		return
	}
	simulation.after(sent, func() {
		simulation.acting = number
		links.failures[target.id] = 0
		target.leaseEnd = max(target.leaseEnd, sentAt+1000)
		simulation.answerPoll(number, target, sentAt)
		simulation.runActions(number)
	})
}

// flushReports sends the collected reports of an instance, one message to each other instance.
func (links *narrowLinks) flushReports(simulation *simulation, number int) {
	reports := links.reports[number]
	links.reports[number] = nil
	simulation.acting = number
	for other, instance := range simulation.instances {
		if other == number {
			continue
		}
		simulation.sendSized(instance.name, messageBytes+reportBytes*len(reports), func(peer *Scheduler) {
			for _, report := range reports {
				peer.HandlePeerReport(report, at(simulation.now))
			}
		})
	}
}

// submitLoad submits jobs of four tasks at the given rate to all instances in turn, from one time to another, and returns their
// IDs.
func (simulation *simulation) submitLoad(name string, jobsPerSecond float64, from, to int) []string {
	var ids []string
	for number := range int(jobsPerSecond * float64(to-from) / 1000) {
		id := fmt.Sprintf("%s%d", name, number)
		ids = append(ids, id)
		entry := number % len(simulation.instances)
		simulation.after(from+int(float64(number)/jobsPerSecond*1000), func() {
			simulation.acting = entry
			simulation.instances[entry].scheduler.Submit(testJob(id, 4, 100, simulation.now), at(simulation.now))
			simulation.runActions(entry)
		})
	}
	return ids
}

// After a burst above what the links of the instances carry, half of that load must be served again within a second. Instances
// that did not know the queue on their own links started more on them, and took each request that waited there for a failure of its
// target.
func TestServiceReturnsAfterAnOverload(t *testing.T) {
	const instances, targets = 8, 48
	const burstEnd, recovered, end = 2000, 3000, 5000 // milliseconds
	const capacity = 140.0                            // jobs a second
	const reportInterval = 75                         // milliseconds
	simulation := newSizedSimulation(1, false, targets, instances, nil)
	simulation.links = narrowLinksOf(simulation, 250)
	simulation.end = end + 1000
	simulation.submitLoad("burst", 2*capacity, 0, burstEnd)
	simulation.submitLoad("calm", capacity/2, burstEnd, recovered)
	ids := simulation.submitLoad("after", capacity/2, recovered, end)
	for at := 0; at < simulation.end; at += reportInterval {
		for number := range instances {
			simulation.after(at+number, func() { simulation.links.flushReports(simulation, number) })
		}
	}
	simulation.play(simulation.end)
	complete := 0
	for _, id := range ids {
		if _, ok := simulation.outcomes[id].(dispatcher.Complete); ok {
			complete++
		}
	}
	if complete < len(ids)*9/10 {
		t.Errorf("%d of %d jobs were complete after the burst", complete, len(ids))
	}
}
