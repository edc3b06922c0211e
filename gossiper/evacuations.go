package gossiper

import (
	"time"

	"github.com/hyssoplift/hyssoplift/evacuator"
	"github.com/hyssoplift/hyssoplift/linker"
)

// SetEvacuationVersion sets the highest version of an evacuation's record that this instance knows. Broadcasts carry it, so that
// an instance that knows a higher one answers.
func (gossiper *Gossiper) SetEvacuationVersion(version int64) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.evacuationVersion = version
}

// SendEvacuations sends all records of evacuations without delay to an instance that lacks some.
func (gossiper *Gossiper) SendEvacuations(to string, records []evacuator.Record) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if peer, ok := gossiper.peers[to]; ok && peer.hello.Revision >= linker.RevisionEvacuations {
		update := gossiper.updateFor(to, true)
		// Records that wait to be sent are outdated.
		update.Evacuations = make([]linker.Evacuation, len(records))
		for i, record := range records {
			update.Evacuations[i] = linker.Evacuation{Domain: record.Domain, Version: record.Version, Evacuated: record.Evacuated}
		}
	}
}

// RequestEvacuations makes the next broadcast due at once. It shows the other instances that this one lacks records of evacuations.
func (gossiper *Gossiper) RequestEvacuations() {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.heartbeatSentAt = time.Time{}
	notify(gossiper.changed)
}

// withEvacuationVersion adds the version of evacuations to broadcasts. Instances of earlier revisions get them without it. The
// caller holds the lock.
func (gossiper *Gossiper) withEvacuationVersion(broadcasts []broadcast) []broadcast {
	if gossiper.evacuationVersion == 0 {
		return broadcasts
	}
	var extended []broadcast
	for _, plain := range broadcasts {
		versioned := broadcast{update: plain.update}
		versioned.update.EvacuationVersion = gossiper.evacuationVersion
		var earlier []string
		for _, incarnation := range plain.to {
			if gossiper.peers[incarnation].hello.Revision >= linker.RevisionEvacuations {
				versioned.to = append(versioned.to, incarnation)
			} else {
				earlier = append(earlier, incarnation)
			}
		}
		plain.to = earlier
		for _, part := range []broadcast{versioned, plain} {
			if len(part.to) > 0 {
				extended = append(extended, part)
			}
		}
	}
	return extended
}
