package gossiper

import (
	"github.com/hyssoplift/hyssoplift/linker"
	"github.com/hyssoplift/hyssoplift/locator"
)

// maxActiveJobs bounds the jobs in one announcement; the others follow in the next broadcast.
const maxActiveJobs = 1024

// AnnounceJob announces an active job of this instance with the next broadcasts.
func (gossiper *Gossiper) AnnounceJob(job locator.Key) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.activeJobs = append(gossiper.activeJobs, uint64(job))
	gossiper.remoteActiveJobs = append(gossiper.remoteActiveJobs, uint64(job))
}

// SendActiveJobs announces active jobs of this instance to an instance that may have missed earlier announcements. Those over the
// limit of a message are left to the next announcements.
func (gossiper *Gossiper) SendActiveJobs(to string, jobs []locator.Key) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if peer, ok := gossiper.peers[to]; !ok || len(jobs) == 0 || peer.hello.Revision < linker.RevisionActiveJobs {
		return
	}
	update := gossiper.updateFor(to, false)
	for _, job := range jobs {
		if len(update.ActiveJobs) < maxActiveJobs {
			update.ActiveJobs = append(update.ActiveJobs, uint64(job))
		}
	}
}

// firstActiveJobs divides jobs into those of the next announcement and the others.
func firstActiveJobs(jobs []uint64) (first, others []uint64) {
	if len(jobs) <= maxActiveJobs {
		return jobs, nil
	}
	return jobs[:maxActiveJobs:maxActiveJobs], jobs[maxActiveJobs:]
}

// ContactWith returns when the last message of an instance arrived and whether it is considered lost, or false if the instance is
// unknown.
func (gossiper *Gossiper) ContactWith(incarnation string) (locator.Contact, bool) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	peer, ok := gossiper.peers[incarnation]
	if !ok {
		return locator.Contact{}, false
	}
	return locator.Contact{LastHeard: peer.lastHeard, Lost: peer.lost}, true
}
