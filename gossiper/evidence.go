package gossiper

import (
	"time"

	"github.com/hyssoplift/hyssoplift/linker"
)

// Link describes whether messages of a lost instance could have arrived.
type Link string

const (
	// LinkOpen means that there is a link to the instance.
	LinkOpen Link = "open"
	// LinkGone means that the last link to the instance has ended.
	LinkGone Link = "ended"
)

// LossEvidence is what the verdict rests on that an instance is lost.
type LossEvidence struct {
	// now is when the verdict was given.
	now           time.Time
	peer          peer
	links         []linker.LinkState
	previousCheck time.Time
	readUntil     time.Time
	inContact     bool
	delegating    bool
	busy          bool
	leaving       bool
}

// lossEvidence returns the evidence for the loss of an instance; the caller holds the lock.
func (gossiper *Gossiper) lossEvidence(peer *peer, links *linker.Linker, previousCheck, readUntil, now time.Time) *LossEvidence {
	evidence := &LossEvidence{
		now: now, peer: *peer, previousCheck: previousCheck, readUntil: readUntil, inContact: gossiper.inContact(peer, now),
		delegating: gossiper.delegating, busy: gossiper.busy, leaving: gossiper.leaving,
	}
	if links != nil {
		evidence.links = links.LinkStates(peer.hello.Incarnation)
	}
	return evidence
}

// Link returns the state of the link to the instance.
func (evidence *LossEvidence) Link() Link {
	if len(evidence.links) > 0 {
		return LinkOpen
	}
	return LinkGone
}

// PeerLeaving reports whether the instance had announced a planned stop.
func (evidence *LossEvidence) PeerLeaving() bool { return evidence.peer.leaving }

// Fields returns the evidence as keys and values of a log line; times are ages in milliseconds.
func (evidence *LossEvidence) Fields() []any {
	peer := &evidence.peer
	fields := []any{
		"instance", peer.hello.Name, "domain", peer.hello.Domain, "peer-leaving", peer.leaving, "leaving", evidence.leaving,
		"silent-ms", evidence.age(peer.lastHeard), "handled-ms", evidence.age(peer.handledAt), "checked-ms", evidence.age(evidence.previousCheck),
		"unread-ms", evidence.age(evidence.readUntil),
		"in-contact", evidence.inContact, "delegating", evidence.delegating, "busy", evidence.busy,
		"peer-delegating", peer.delegating, "peer-busy", peer.busy, "shared-jobs", peer.sharedJobs, "link", string(evidence.Link()),
	}
	if !peer.contactSince.IsZero() {
		fields = append(fields, "contact-ms", evidence.age(peer.contactSince))
	}
	if len(evidence.links) > 0 {
		link := &evidence.links[len(evidence.links)-1]
		fields = append(fields, "links", len(evidence.links), "link-ms", link.Age().Milliseconds(), "received-ms", link.ReceivedAge().Milliseconds(),
			"handling-ms", link.Handling().Milliseconds(), "ping-ms", link.Pinging().Milliseconds(), "write-ms", link.Writing().Milliseconds(), "queued", link.Queued())
	}
	if !peer.endedAt.IsZero() {
		fields = append(fields, "ended-ms", evidence.age(peer.endedAt), "error", peer.endCause)
	}
	return fields
}

func (evidence *LossEvidence) age(at time.Time) int64 { return evidence.now.Sub(at).Milliseconds() }
