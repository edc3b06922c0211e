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
