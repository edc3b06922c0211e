package scheduler

import "time"

// maxStartBacklog is how much an instance may have queued on its own link when it starts a task: half of the time after which a
// start counts as unanswered. Tasks wait in the queue instead, where they keep their order and can be given up at no cost; a
// request on the link delays all others, and is sent even if its job has been answered meanwhile.
const maxStartBacklog = 30 * time.Millisecond

// Link estimates how long what an instance sends waits on its own network link.
type Link interface {
	// Backlog returns the time until the link has sent all that was recorded.
	Backlog(now time.Time) time.Duration
	// Send records a request with a job body of the given size in bytes, and returns the time until the link has sent it.
	Send(bodyBytes int, now time.Time) time.Duration
}

// SetLink sets the link of this instance. Without one, the link counts as idle.
func (scheduler *Scheduler) SetLink(link Link) { scheduler.link = link }

// idleLink is a link of unknown bandwidth.
type idleLink struct{}

func (idleLink) Backlog(time.Time) time.Duration { return 0 }

func (idleLink) Send(int, time.Time) time.Duration { return 0 }
