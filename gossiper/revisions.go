package gossiper

import "github.com/hyssoplift/hyssoplift/linker"

// byRevision divides broadcasts by the revisions of their recipients, and leaves out the fields that a recipient does not know. The
// caller holds the lock.
func (gossiper *Gossiper) byRevision(broadcasts []broadcast) []broadcast {
	var divided []broadcast
	for _, whole := range broadcasts {
		recipients := make(map[int][]string, 1)
		for _, incarnation := range whole.to {
			revision := min(gossiper.peers[incarnation].hello.Revision, linker.Revision)
			recipients[revision] = append(recipients[revision], incarnation)
		}
		for revision, to := range recipients {
			divided = append(divided, broadcast{to, reduced(whole.update, revision)})
		}
	}
	return divided
}

// reduced returns a broadcast update without the fields that are newer than a revision.
func reduced(update linker.StateUpdate, revision int) linker.StateUpdate {
	if revision < linker.RevisionActiveJobs {
		update.ActiveJobs = nil
	}
	if revision < linker.RevisionReports {
		update.ReportedIncarnations = nil
	}
	if revision < linker.RevisionEvacuations {
		update.EvacuationVersion = 0
	}
	return update
}
