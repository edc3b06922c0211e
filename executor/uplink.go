package executor

import (
	"sync"
	"time"

	"github.com/hyssoplift/hyssoplift/scheduler"
)

// requestOverhead is the size in bytes of a request to a target without the body of its job: headers, packets and
// acknowledgements.
const requestOverhead = 500

// messageOverhead is the size in bytes of the headers and acknowledgements of a message to another instance.
const messageOverhead = 110

// maxBacklog bounds the estimate. A start that the link sends later reaches its target after the end of its lease and is
// rejected, so no longer backlog is worth waiting for.
const maxBacklog = scheduler.LeaseDuration

// uplink estimates how long a request waits on this instance's own network link behind what was sent before it. It
// responds to wide jobs on a narrow link: a start carries the body of its job, so that 32 starts of 4 KB keep a link of
// 2 Mbit/s busy for half a second. Without it, the last starts of such a job seemed unanswered, and the requests that
// follow an unanswered start filled the link further.
type uplink struct {
	// bytesPerSecond is the bandwidth; 0 if unknown.
	bytesPerSecond float64

	mu sync.Mutex
	// idleAt is when the link will have sent all requests.
	idleAt time.Time
}

func newUplink(mbps float64) *uplink {
	const bytesPerMegabit = 1e6 / 8
	return &uplink{bytesPerSecond: mbps * bytesPerMegabit}
}

// Send records a request with a job body of the given size, and returns the time until the link has sent it.
func (uplink *uplink) Send(bodyBytes int, now time.Time) time.Duration {
	return uplink.record(float64(bodyBytes+requestOverhead), now)
}

// Cancel removes a recorded request with a job body of the given size that was not sent after all.
func (uplink *uplink) Cancel(bodyBytes int, now time.Time) {
	uplink.record(-float64(bodyBytes+requestOverhead), now)
}

// RecordMessages records messages to other instances with the given total size.
func (uplink *uplink) RecordMessages(count, bytes int64, now time.Time) {
	if count > 0 {
		uplink.record(float64(bytes+count*messageOverhead), now)
	}
}

// Backlog returns the time until the link has sent all that was recorded.
func (uplink *uplink) Backlog(now time.Time) time.Duration { return uplink.record(0, now) }

func (uplink *uplink) record(bytes float64, now time.Time) time.Duration {
	if uplink.bytesPerSecond <= 0 {
		return 0
	}
	uplink.mu.Lock()
	defer uplink.mu.Unlock()
	if uplink.idleAt.Before(now) {
		uplink.idleAt = now
	}
	uplink.idleAt = uplink.idleAt.Add(time.Duration(bytes / uplink.bytesPerSecond * float64(time.Second)))
	if latest := now.Add(maxBacklog); uplink.idleAt.After(latest) {
		uplink.idleAt = latest
	}
	return uplink.idleAt.Sub(now)
}
