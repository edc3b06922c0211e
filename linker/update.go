package linker

import (
	"github.com/rotisserie/eris"
)

// maxLostRuns bounds the runs of a loss, so that a loss with all of its runs has no more than MaxElements elements.
const maxLostRuns = MaxElements - 1

// updateList describes one list of a state update.
type updateList struct {
	name   string
	length func(update *StateUpdate) int
	// elements returns how many elements of arrays the element at an index takes.
	elements func(update *StateUpdate, index int) int
	// check returns an error if receivers refuse the element at an index.
	check func(update *StateUpdate, index int) error
	// add appends the element at an index of from to the same list of to.
	add func(to, from *StateUpdate, index int)
}

// updateLists holds the lists of a state update in the order in which a receiver processes them, so that an update has the same effect
// when it is divided. Senders divide updates and receivers check them by the same list.
var updateLists = []updateList{
	listOf("disowned", func(update *StateUpdate) *[]OwnedRun { return &update.Disowned }, (*OwnedRun).check),
	listOf("evacuations", func(update *StateUpdate) *[]Evacuation { return &update.Evacuations }, (*Evacuation).check),
	listOf("claims", func(update *StateUpdate) *[]Claim { return &update.Claims }, (*Claim).check),
	listOf("reservations", func(update *StateUpdate) *[]Claim { return &update.Reservations }, (*Claim).check),
	listOf("reservation-answers", func(update *StateUpdate) *[]ReservationAnswer { return &update.ReservationAnswers }, (*ReservationAnswer).check),
	listOf("queries", func(update *StateUpdate) *[]OwnedRun { return &update.Queries }, (*OwnedRun).check),
	listOf("withdrawn", func(update *StateUpdate) *[]RunID { return &update.Withdrawn }, (*RunID).check),
	listOf("stops", func(update *StateUpdate) *[]RunID { return &update.Stops }, (*RunID).check),
	listOf("lease-ends", func(update *StateUpdate) *[]LeaseEnd { return &update.LeaseEnds }, (*LeaseEnd).check),
	listOf("suspensions", func(update *StateUpdate) *[]Suspension { return &update.Suspensions }, (*Suspension).check),
	withCompanion(
		listOf("rooms", func(update *StateUpdate) *[]FreeCapacity { return &update.FreeCapacity }, (*FreeCapacity).check),
		func(update *StateUpdate) *[]int64 { return &update.ReportedIncarnations },
	),
	withCompanion(
		listOf("ends", func(update *StateUpdate) *[]RunEnd { return &update.Ends }, (*RunEnd).check),
		func(update *StateUpdate) *[]EndOrigin { return &update.EndOrigins },
	),
	lossList(),
	listOf("responding", func(update *StateUpdate) *[]TargetIncarnation { return &update.Responding }, (*TargetIncarnation).check),
	listOf("restarts", func(update *StateUpdate) *[]TargetIncarnation { return &update.Restarts }, (*TargetIncarnation).check),
	listOf("verified", func(update *StateUpdate) *[]TargetIncarnation { return &update.Verified }, (*TargetIncarnation).check),
	listOf("cancelled", func(update *StateUpdate) *[]CancelledJob { return &update.Cancelled }, (*CancelledJob).check),
	listOf("cancel-answers", func(update *StateUpdate) *[]CancelledAnswer { return &update.CancelAnswers }, (*CancelledAnswer).check),
	listOf("active-jobs", func(update *StateUpdate) *[]uint64 { return &update.ActiveJobs }, func(*uint64) error { return nil }),
	listOf("abandoned", func(update *StateUpdate) *[]string { return &update.Abandoned }, func(job *string) error { return checkTexts(*job) }),
}

// listOf describes a list whose elements hold no arrays.
func listOf[Element any](name string, field func(*StateUpdate) *[]Element, check func(*Element) error) updateList {
	return updateList{
		name:     name,
		length:   func(update *StateUpdate) int { return len(*field(update)) },
		elements: func(*StateUpdate, int) int { return 1 },
		check:    func(update *StateUpdate, index int) error { return check(&(*field(update))[index]) },
		add: func(to, from *StateUpdate, index int) {
			list := field(to)
			*list = append(*list, (*field(from))[index])
		},
	}
}

// withCompanion extends a list by another one that holds further data of its elements in the same order. Receivers ignore a companion
// of another length.
func withCompanion[Element any](list updateList, companion func(*StateUpdate) *[]Element) updateList {
	add := list.add
	list.add = func(to, from *StateUpdate, index int) {
		add(to, from, index)
		if elements := *companion(from); len(elements) == list.length(from) {
			added := companion(to)
			*added = append(*added, elements[index])
		}
	}
	return list
}

func lossList() updateList {
	list := listOf("losses", func(update *StateUpdate) *[]Loss { return &update.Losses }, (*Loss).check)
	list.elements = func(update *StateUpdate, index int) int { return 1 + len(update.Losses[index].Runs) }
	return list
}

func (claim *Claim) check() error              { return checkTexts(claim.Target, claim.Task) }
func (answer *ReservationAnswer) check() error { return checkTexts(answer.Target, answer.Task) }
func (end *RunEnd) check() error               { return checkTexts(end.Target, end.Task) }
func (id *RunID) check() error                 { return checkTexts(id.Target, id.Task) }
func (run *OwnedRun) check() error             { return checkTexts(run.Target, run.Task) }
func (suspension *Suspension) check() error    { return checkTexts(suspension.Target, suspension.Task) }
func (cancelled *CancelledJob) check() error   { return checkTexts(cancelled.Job) }
func (answer *CancelledAnswer) check() error   { return checkTexts(answer.Job) }
func (lease *LeaseEnd) check() error           { return checkTexts(lease.Target) }
func (free *FreeCapacity) check() error        { return checkTexts(free.Target) }
func (target *TargetIncarnation) check() error { return checkTexts(target.Target) }

func (loss *Loss) check() error {
	if len(loss.Runs) > maxLostRuns {
		return eris.Errorf("loss has %d runs, maximum is %d", len(loss.Runs), maxLostRuns)
	}
	for i := range loss.Runs {
		if err := checkTexts(loss.Runs[i].Task, loss.Runs[i].Route); err != nil {
			return err
		}
	}
	return checkTexts(loss.Target, loss.Address, loss.Observer)
}

func (evacuation *Evacuation) check() error {
	if evacuation.Domain == "" || evacuation.Version <= 0 {
		return eris.New("evacuation has no failure domain or no version")
	}
	return checkTexts(evacuation.Domain)
}

func checkStateUpdate(update *StateUpdate) error {
	if update.EvacuationVersion < 0 {
		return eris.Errorf("version of evacuations is negative: %d", update.EvacuationVersion)
	}
	for i := range updateLists {
		list := &updateLists[i]
		for index := range list.length(update) {
			if err := list.check(update, index); err != nil {
				return eris.Wrapf(err, "list %s", list.name)
			}
		}
	}
	return nil
}

// refusals counts the elements of a state update that receivers would refuse.
type refusals struct {
	count int64
	// list and err describe the first one.
	list string
	err  error
}

func (refusals *refusals) add(list string, err error) {
	if refusals.count++; refusals.count == 1 {
		refusals.list, refusals.err = list, err
	}
}

// divide returns state updates with the elements of update that every receiver can decode. No array in them has more than MaxElements
// elements. Elements that receivers would refuse are left out: they would end the link, and with it all other messages.
func divide(update *StateUpdate) ([]StateUpdate, refusals) {
	var refused refusals
	if fitsOneMessage(update) {
		return []StateUpdate{*update}, refused
	}
	var divided []StateUpdate
	current, elements := StateUpdate{SentUS: update.SentUS}, 0
	for i := range updateLists {
		list := &updateLists[i]
		for index := range list.length(update) {
			if err := list.check(update, index); err != nil {
				refused.add(list.name, err)
				continue
			}
			added := list.elements(update, index)
			if elements+added > MaxElements {
				divided = append(divided, current)
				current, elements = StateUpdate{SentUS: update.SentUS}, 0
			}
			list.add(&current, update, index)
			elements += added
		}
	}
	// By the state of a broadcast, receivers tell that they have its reports.
	current.Waiting, current.Leaving, current.Busy, current.EvacuationVersion = update.Waiting, update.Leaving, update.Busy, update.EvacuationVersion
	return append(divided, current), refused
}

// fitsOneMessage reports whether receivers can decode an update as it is.
func fitsOneMessage(update *StateUpdate) bool {
	elements := 0
	for i := range updateLists {
		list := &updateLists[i]
		for index := range list.length(update) {
			elements += list.elements(update, index)
		}
	}
	return max(elements, len(update.EndOrigins), len(update.ReportedIncarnations)) <= MaxElements && checkStateUpdate(update) == nil
}
