package gossiper

import (
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/scheduler"
)

// SendCancellation tells an instance without delay that a job must not run any more.
func (gossiper *Gossiper) SendCancellation(to string, cancellation scheduler.Cancellation) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if peer, ok := gossiper.peers[to]; ok && peer.hello.Revision >= linker.RevisionOwnership {
		update := gossiper.updateFor(to, true)
		update.Cancelled = append(update.Cancelled, linker.CancelledJob{Job: cancellation.Job, AgeMS: gossiper.now().Sub(cancellation.At).Milliseconds()})
	}
}

// OutOfTouch reports whether an instance may be running that this one has no link to or considers lost.
func (gossiper *Gossiper) OutOfTouch() bool {
	links := gossiper.currentLinks()
	if links == nil {
		return false
	}
	if !links.AllLinked() {
		return true
	}
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	for incarnation, peer := range gossiper.peers {
		if peer.lost && links.Connected(incarnation) {
			return true
		}
	}
	return false
}

// AnswerCancellation tells an instance without delay whether a cancelled job was active here.
func (gossiper *Gossiper) AnswerCancellation(to, job string, active bool) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	update := gossiper.updateFor(to, true)
	update.CancelAnswers = append(update.CancelAnswers, linker.CancelledAnswer{Job: job, Active: active})
}
