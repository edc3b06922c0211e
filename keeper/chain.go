package keeper

import (
	"cmp"
	"slices"
)

const (
	// historyViews bounds the views kept for the floor walk and the memory that they take.
	historyViews = 64
	// maxCandidates bounds the records kept while none of them can be judged.
	maxCandidates = 64
)

// origin says what a view is known to follow.
type origin uint8

const (
	// follows means that the previous view is the one before it in the history, unless that is full.
	follows origin = iota
	// first means that the view is the first of a log that was never trimmed.
	first
	// detached means that earlier views are unknown or, after a reset, do not count.
	detached
)

// standing is one valid view with what follows from it; it is immutable.
type standing struct {
	number int64
	view   View
	origin origin
	// expiryFloor is the largest one of the chain: a view that carried a lower one over would bring keys
	// back to life whose records have been dropped.
	expiryFloor int64
	// order holds, for each slice, the indexes of view.Members in rendezvous order; the first one owns it.
	order [SliceCount][]uint16
}

func newStanding(number int64, view View, origin origin, expiryFloor int64) *standing {
	standing := &standing{number: number, view: view, origin: origin, expiryFloor: max(expiryFloor, view.ExpiryFloor)}
	type scored struct {
		score uint64
		index uint16
	}
	hashes := make([]uint64, len(view.Members))
	for i, member := range view.Members {
		// The name and not the incarnation: a restarted instance gets its slices back and no others move.
		hashes[i] = mix(hashText(member.Name))
	}
	scores := make([]scored, len(view.Members))
	indexes := make([]uint16, SliceCount*len(view.Members))
	for slice := range SliceCount {
		for i := range scores {
			scores[i] = scored{mix(hashes[i] ^ mix(uint64(slice)+1)), uint16(i)}
		}
		slices.SortFunc(scores, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(view.Members[a.index].Incarnation, view.Members[b.index].Incarnation))
		})
		order := indexes[slice*len(scores) : (slice+1)*len(scores)]
		for i, scored := range scores {
			order[i] = scored.index
		}
		standing.order[slice] = order
	}
	return standing
}

// owner returns the member that decides the slice.
func (standing *standing) owner(slice int) Member {
	return standing.view.Members[standing.order[slice][0]]
}

// answers says whether the incarnation is a member, or leaves by plan and still answers.
func (standing *standing) answers(incarnation string) bool {
	_, member := find(standing.view.Members, incarnation)
	_, departing := find(standing.view.Departing, incarnation)
	return member || departing
}

// position is the current view and the ones before it, oldest first; it is immutable.
type position struct {
	current *standing
	before  []*standing
}

func (place *position) number() int64 {
	if place == nil {
		return NoView
	}
	return place.current.number
}

type candidate struct {
	offset int64
	view   View
}

// chain finds the valid views among the records of the log.
type chain struct {
	place *position
	// next is the offset that follows the last record read.
	next int64
	// gap says that records after the current view, or before the first record read, are missing.
	gap        bool
	candidates []candidate
}

// open notes that the log retains records from earliest on.
func (chain *chain) open(earliest int64) {
	if earliest > chain.next {
		chain.gap, chain.candidates, chain.next = true, nil, earliest
	}
}

// read returns the positions that the record makes valid, in order; usually none or one.
func (chain *chain) read(offset int64, view View) []*position {
	if offset < chain.next {
		return nil
	}
	chain.next = offset + 1
	switch {
	case len(view.Members) == 0:
		return nil
	case view.Reset:
		return chain.adopt(candidate{offset, view}, detached)
	case chain.gap:
		return chain.bridge(candidate{offset, view})
	case chain.place == nil && view.Prev == NoView:
		return chain.adopt(candidate{offset, view}, first)
	case chain.place != nil && view.Prev == chain.place.number():
		return chain.adopt(candidate{offset, view}, follows)
	default:
		return nil
	}
}

// bridge judges a record after missing ones. A proposer names only a valid view as prev, so a record that a
// later one names is valid; a record that none names may have lost to one that was trimmed.
func (chain *chain) bridge(record candidate) []*position {
	for _, earlier := range chain.candidates {
		if earlier.offset == record.view.Prev {
			return append(chain.adopt(earlier, detached), chain.adopt(record, follows)...)
		}
	}
	if len(chain.candidates) == maxCandidates {
		chain.candidates = slices.Delete(chain.candidates, 0, 1)
	}
	chain.candidates = append(chain.candidates, record)
	return nil
}

func (chain *chain) adopt(record candidate, origin origin) []*position {
	var before []*standing
	expiryFloor := int64(0)
	if chain.place != nil {
		expiryFloor = chain.place.current.expiryFloor
		if origin == follows {
			before = append(slices.Clone(chain.place.before), chain.place.current)
			before = before[max(0, len(before)-historyViews):]
		}
	}
	chain.gap, chain.candidates = false, nil
	chain.place = &position{current: newStanding(record.offset, record.view, origin, expiryFloor), before: before}
	return []*position{chain.place}
}
