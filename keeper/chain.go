package keeper

import (
	"cmp"
	"slices"
)

const (
	// maxEarlierViews bounds the views kept for the floor walk and the memory that they take.
	maxEarlierViews = 64
	// maxCandidates bounds the records kept while none of them can be judged.
	maxCandidates = 64
)

// predecessor says what a view is known to follow.
type predecessor uint8

const (
	// previousView means that the previous view is the one before it in the history, unless that is full.
	previousView predecessor = iota
	// firstOfLog means that the view is the first of a log that was never trimmed.
	firstOfLog
	// unknownPredecessor means that earlier views are unknown or, after a reset, do not count.
	unknownPredecessor
)

// adoptedView is one valid view with what follows from it; it is immutable.
type adoptedView struct {
	number      int64
	view        View
	predecessor predecessor
	// expiryFloor is the largest one of the chain: a view that carried a lower one over would bring keys
	// back to life whose records have been dropped.
	expiryFloor int64
	// rendezvousOrder holds, for each slice, the indexes of view.Members in rendezvous order; the first one owns it.
	rendezvousOrder [SliceCount][]uint16
}

func newAdoptedView(number int64, view View, predecessor predecessor, expiryFloor int64) *adoptedView {
	adoptedView := &adoptedView{number: number, view: view, predecessor: predecessor, expiryFloor: max(expiryFloor, view.ExpiryFloor)}
	type scored struct {
		score uint64
		index uint16
	}
	hashes := make([]uint64, len(view.Members))
	for i, member := range view.Members {
		// The name and not the incarnation: a restarted instance gets its slices back and no others move.
		hashes[i] = mixBits(hashText(member.Name))
	}
	scores := make([]scored, len(view.Members))
	indexes := make([]uint16, SliceCount*len(view.Members))
	for slice := range SliceCount {
		for i := range scores {
			scores[i] = scored{mixBits(hashes[i] ^ mixBits(uint64(slice)+1)), uint16(i)}
		}
		slices.SortFunc(scores, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(view.Members[a.index].Incarnation, view.Members[b.index].Incarnation))
		})
		rendezvousOrder := indexes[slice*len(scores) : (slice+1)*len(scores)]
		for i, scored := range scores {
			rendezvousOrder[i] = scored.index
		}
		adoptedView.rendezvousOrder[slice] = rendezvousOrder
	}
	return adoptedView
}

// owner returns the member that decides the slice.
func (adoptedView *adoptedView) owner(slice int) Member {
	return adoptedView.view.Members[adoptedView.rendezvousOrder[slice][0]]
}

// includes says whether the incarnation is a member, or leaves by plan and still answers.
func (adoptedView *adoptedView) includes(incarnation string) bool {
	_, member := findMember(adoptedView.view.Members, incarnation)
	_, departing := findMember(adoptedView.view.Departing, incarnation)
	return member || departing
}

// viewHistory is the current view and the ones before it, oldest first; it is immutable.
type viewHistory struct {
	current *adoptedView
	earlier []*adoptedView
}

func (history *viewHistory) number() int64 {
	if history == nil {
		return NoView
	}
	return history.current.number
}

type candidate struct {
	offset int64
	view   View
}

// viewChain finds the valid views among the records of the log.
type viewChain struct {
	history *viewHistory
	// nextOffset is the offset that follows the last record read.
	nextOffset int64
	// gap says that records after the current view, or before the first record read, are missing.
	gap        bool
	candidates []candidate
}

// setEarliest notes that the log retains records from earliest on.
func (viewChain *viewChain) setEarliest(earliest int64) {
	if earliest > viewChain.nextOffset {
		viewChain.gap, viewChain.candidates, viewChain.nextOffset = true, nil, earliest
	}
}

// read returns the positions that the record makes valid, in order; usually none or one.
func (viewChain *viewChain) read(offset int64, view View) []*viewHistory {
	if offset < viewChain.nextOffset {
		return nil
	}
	viewChain.nextOffset = offset + 1
	switch {
	case len(view.Members) == 0:
		return nil
	case view.Reset:
		return viewChain.adopt(candidate{offset, view}, unknownPredecessor)
	case viewChain.gap:
		return viewChain.resolveGap(candidate{offset, view})
	case viewChain.history == nil && view.Prev == NoView:
		return viewChain.adopt(candidate{offset, view}, firstOfLog)
	case viewChain.history != nil && view.Prev == viewChain.history.number():
		return viewChain.adopt(candidate{offset, view}, previousView)
	default:
		return nil
	}
}

// resolveGap judges a record after missing ones. A proposer names only a valid view as prev, so a record that a
// later one names is valid; a record that none names may have lost to one that was trimmed.
func (viewChain *viewChain) resolveGap(record candidate) []*viewHistory {
	for _, earlier := range viewChain.candidates {
		if earlier.offset == record.view.Prev {
			return append(viewChain.adopt(earlier, unknownPredecessor), viewChain.adopt(record, previousView)...)
		}
	}
	if len(viewChain.candidates) == maxCandidates {
		viewChain.candidates = slices.Delete(viewChain.candidates, 0, 1)
	}
	viewChain.candidates = append(viewChain.candidates, record)
	return nil
}

func (viewChain *viewChain) adopt(record candidate, predecessor predecessor) []*viewHistory {
	var earlier []*adoptedView
	expiryFloor := int64(0)
	if viewChain.history != nil {
		expiryFloor = viewChain.history.current.expiryFloor
		if predecessor == previousView {
			earlier = append(slices.Clone(viewChain.history.earlier), viewChain.history.current)
			earlier = earlier[max(0, len(earlier)-maxEarlierViews):]
		}
	}
	viewChain.gap, viewChain.candidates = false, nil
	viewChain.history = &viewHistory{current: newAdoptedView(record.offset, record.view, predecessor, expiryFloor), earlier: earlier}
	return []*viewHistory{viewChain.history}
}
