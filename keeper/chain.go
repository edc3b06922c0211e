package keeper

import (
	"cmp"
	"slices"
)

const (
	// maxEarlierViews bounds the views kept for viewHistory.floor and the memory that they take.
	maxEarlierViews = 64
	// maxCandidates bounds the records kept after a gap while none of them is known to be valid.
	maxCandidates = 64
)

// predecessor says what is known of the view before an adopted one.
type predecessor uint8

const (
	// knownPredecessor means that the previous view is known. It precedes this one in the history, unless it was
	// dropped because of maxEarlierViews.
	knownPredecessor predecessor = iota
	// firstOfLog means that the view is the first of a log that was never trimmed.
	firstOfLog
	// unknownPredecessor means that earlier views are unknown or that a reset has made them irrelevant.
	unknownPredecessor
)

// adoptedView is one valid view with the data derived from it; it is immutable.
type adoptedView struct {
	number      int64
	view        View
	predecessor predecessor
	// expiryFloor is the largest expiry floor of this view and the ones before it. With a lower one, keys whose
	// records have been dropped could start again.
	expiryFloor int64
	// rendezvousOrder holds, for each slice, the indexes of view.Members in the order of rendezvous hashing; the
	// first member owns the slice.
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
		// The name is hashed, not the incarnation, so that a restarted instance gets its slices back and no other
		// slice moves.
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

// owner returns the member that owns the slice.
func (adoptedView *adoptedView) owner(slice int) Member {
	return adoptedView.view.Members[adoptedView.rendezvousOrder[slice][0]]
}

// includes reports whether the incarnation is a member or a departing one, which still answers messages.
func (adoptedView *adoptedView) includes(incarnation string) bool {
	_, member := findMember(adoptedView.view.Members, incarnation)
	_, departing := findMember(adoptedView.view.Departing, incarnation)
	return member || departing
}

// viewHistory holds the current view and the ones before it, oldest first; it is immutable.
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

// candidate is a record whose validity is unknown because records before it are missing.
type candidate struct {
	offset int64
	view   View
}

// viewChain selects the valid views among the records of the log: each names the current view as its previous one.
type viewChain struct {
	history *viewHistory
	// nextOffset is the offset that follows the last record read.
	nextOffset int64
	// gap is set while records after the current view, or before the first record read, are missing.
	gap        bool
	candidates []candidate
}

// setEarliest records that the log retains no records before earliest.
func (viewChain *viewChain) setEarliest(earliest int64) {
	if earliest > viewChain.nextOffset {
		viewChain.gap, viewChain.candidates, viewChain.nextOffset = true, nil, earliest
	}
}

// read returns the histories that end in the views which the record makes valid, in order: none, one, or two after a
// gap.
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
		return viewChain.adopt(candidate{offset, view}, knownPredecessor)
	default:
		return nil
	}
}

// resolveGap handles a record that follows missing ones. A proposer names only a valid view as the previous one, so a
// record that a later one names is valid; a record that none names may have lost to one that was trimmed.
func (viewChain *viewChain) resolveGap(record candidate) []*viewHistory {
	for _, earlier := range viewChain.candidates {
		if earlier.offset == record.view.Prev {
			return append(viewChain.adopt(earlier, unknownPredecessor), viewChain.adopt(record, knownPredecessor)...)
		}
	}
	if len(viewChain.candidates) == maxCandidates {
		viewChain.candidates = slices.Delete(viewChain.candidates, 0, 1)
	}
	viewChain.candidates = append(viewChain.candidates, record)
	return nil
}

// adopt makes the record's view the current one. Earlier views stay in the history only if the predecessor is known.
func (viewChain *viewChain) adopt(record candidate, predecessor predecessor) []*viewHistory {
	var earlier []*adoptedView
	expiryFloor := int64(0)
	if viewChain.history != nil {
		expiryFloor = viewChain.history.current.expiryFloor
		if predecessor == knownPredecessor {
			earlier = append(slices.Clone(viewChain.history.earlier), viewChain.history.current)
			earlier = earlier[max(0, len(earlier)-maxEarlierViews):]
		}
	}
	viewChain.gap, viewChain.candidates = false, nil
	viewChain.history = &viewHistory{current: newAdoptedView(record.offset, record.view, predecessor, expiryFloor), earlier: earlier}
	return []*viewHistory{viewChain.history}
}
