package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// unresolvedRetention is how long a loss is kept that was neither confirmed by a new incarnation nor withdrawn.
	unresolvedRetention = 30 * time.Second
	// confirmedRetention is how long a confirmed crash is kept. Callers ask about a job, and may send it again, for
	// minutes.
	confirmedRetention = 10 * time.Minute
	// maxLosses bounds the memory; the oldest losses are dropped first.
	maxLosses = 512
	// maxSuspects bounds the suspects of one loss.
	maxSuspects = 1024
)

// Verdict states whether and where a task may start.
type Verdict int

// Verdicts, from the most to the least permissive.
const (
	// Free means that the task may start on any target.
	Free Verdict = iota
	// Isolated means that the task may start only on a target without runs of other jobs.
	Isolated
	// Held means that the task must not start until it is known whether the targets that were lost under it crashed.
	Held
	// Exhausted means that so many targets were lost under the task that it must not start again, although targets are lost so
	// often that it may be sound.
	Exhausted
	// Convicted means that the task has crashed its targets; it must not start again.
	Convicted
)

// lossKey identifies an incarnation of a target, which can be lost only once.
type lossKey struct {
	target      string
	incarnation int64
}

// Isolator holds the known losses. It is not safe for concurrent use.
type Isolator struct {
	losses map[lossKey]*Loss
	byTask map[string][]*Loss
	// refused holds the losses whose evidence is Refused: targets that probably crashed and are not back.
	refused map[*Loss]bool
	// version counts the changes, and assessed holds the latest assessment of each task in byTask.
	version  int
	assessed map[string]assessment
}

// New returns an isolator that knows of no loss.
func New() *Isolator {
	return &Isolator{losses: make(map[lossKey]*Loss), byTask: make(map[string][]*Loss), refused: make(map[*Loss]bool), assessed: make(map[string]assessment)}
}

// Empty reports whether no loss is known.
func (isolator *Isolator) Empty() bool { return len(isolator.losses) == 0 }

// Change is what a recorded loss adds to what was known.
type Change int

// Changes, from the smallest to the largest.
const (
	// Unchanged means that the loss adds nothing.
	Unchanged Change = iota
	// Updated means that something about the loss is new.
	Updated
	// Discovered means that the loss has suspects now and had none before.
	Discovered
)

// Record adds a loss, or merges it with what is known about the same incarnation. It returns the result, and what is new. A
// loss of an unknown incarnation is ignored. One without suspects shows that targets are lost for reasons of their own.
func (isolator *Isolator) Record(loss Loss) (Loss, Change) {
	key := lossKey{loss.Target, loss.Incarnation}
	known, ok := isolator.losses[key]
	if !ok {
		if loss.Incarnation == 0 || loss.Evidence < Silent || loss.Evidence > Restarted {
			return Loss{}, Unchanged
		}
		isolator.makeSpace()
		known = &Loss{Target: loss.Target, Incarnation: loss.Incarnation, Address: loss.Address, At: loss.At, Observer: loss.Observer}
		isolator.losses[key] = known
	}
	if len(loss.Suspects) > maxSuspects-len(known.Suspects) {
		loss.Suspects = loss.Suspects[:max(0, maxSuspects-len(known.Suspects))]
	}
	before := len(known.Suspects)
	change := Unchanged
	if known.merge(&loss) || !ok {
		change = Updated
	}
	if before == 0 && len(known.Suspects) > 0 {
		change = Discovered
	}
	isolator.version++
	for _, suspect := range known.Suspects[before:] {
		if losses := isolator.byTask[suspect.Task]; !slices.Contains(losses, known) {
			isolator.byTask[suspect.Task] = append(losses, known)
		}
	}
	isolator.indexEvidence(known)
	return known.clone(), change
}

// indexEvidence updates the set of refused losses.
func (isolator *Isolator) indexEvidence(loss *Loss) {
	if loss.Evidence == Refused && len(loss.Suspects) > 0 {
		isolator.refused[loss] = true
	} else {
		delete(isolator.refused, loss)
	}
}

// makeSpace drops the oldest loss if there are maxLosses, and rather one without suspects.
func (isolator *Isolator) makeSpace() {
	if len(isolator.losses) < maxLosses {
		return
	}
	isolator.remove(slices.MinFunc(slices.Collect(maps.Values(isolator.losses)), func(a, b *Loss) int {
		return cmp.Or(cmp.Compare(min(len(a.Suspects), 1), min(len(b.Suspects), 1)), a.At.Compare(b.At))
	}))
}

func (isolator *Isolator) remove(loss *Loss) {
	isolator.version++
	delete(isolator.losses, lossKey{loss.Target, loss.Incarnation})
	delete(isolator.refused, loss)
	for _, suspect := range loss.Suspects {
		isolator.forget(suspect.Task, loss)
	}
}

// forget removes a loss from the losses of a task.
func (isolator *Isolator) forget(task string, loss *Loss) {
	kept := slices.DeleteFunc(isolator.byTask[task], func(other *Loss) bool { return other == loss })
	if len(kept) == 0 {
		delete(isolator.byTask, task)
		delete(isolator.assessed, task)
		return
	}
	isolator.byTask[task] = kept
}

// ObserveIncarnation confirms the losses of earlier incarnations of a target, and of earlier targets at its address. It
// returns those that were not confirmed yet.
func (isolator *Isolator) ObserveIncarnation(target, address string, incarnation int64) []Loss {
	if isolator.Empty() {
		return nil
	}
	var confirmed []Loss
	isolator.version++
	for _, loss := range isolator.sorted() {
		if (loss.Target == target || loss.Address == address && address != "") && loss.Incarnation < incarnation && loss.Evidence < Restarted {
			loss.Evidence = Restarted
			isolator.indexEvidence(loss)
			confirmed = append(confirmed, loss.clone())
		}
	}
	return confirmed
}

// Withdraw removes an unconfirmed loss because the incarnation has responded to a request that was sent after it. It
// reports whether there was one.
func (isolator *Isolator) Withdraw(target string, incarnation int64, sent time.Time) bool {
	loss, ok := isolator.losses[lossKey{target, incarnation}]
	if !ok || loss.Evidence == Restarted || !loss.At.Before(sent) {
		return false
	}
	isolator.remove(loss)
	return true
}

// Exonerate clears all runs of a task because one of them has succeeded.
func (isolator *Isolator) Exonerate(task string) {
	for _, loss := range isolator.byTask[task] {
		isolator.version++
		for i := range loss.Suspects {
			loss.Suspects[i].Cleared = loss.Suspects[i].Cleared || loss.Suspects[i].Task == task
		}
	}
}

// LostRun is a run that counts as lost with an incarnation of a target, and when its start was decided.
type LostRun struct {
	Incarnation int64
	StartedAt   time.Time
}

// LostRuns returns the incarnations of a target with which a run counts as lost, in a fixed order.
func (isolator *Isolator) LostRuns(target, task string, attempt int64) []LostRun {
	var runs []LostRun
	for _, loss := range isolator.byTask[task] {
		if loss.Target != target {
			continue
		}
		if suspect := loss.find(task, attempt); suspect != nil && !suspect.Cleared {
			runs = append(runs, LostRun{loss.Incarnation, crash{loss, suspect}.startedAt()})
		}
	}
	slices.SortFunc(runs, func(a, b LostRun) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return runs
}

// Lists reports whether a run counts as lost with an incarnation of a target.
func (isolator *Isolator) Lists(target string, incarnation int64, task string, attempt int64) bool {
	loss, ok := isolator.losses[lossKey{target, incarnation}]
	return ok && loss.find(task, attempt) != nil
}

// LostAt returns when the loss of an incarnation of a target was noticed, or false if it is not lost.
func (isolator *Isolator) LostAt(target string, incarnation int64) (time.Time, bool) {
	if loss, ok := isolator.losses[lossKey{target, incarnation}]; ok {
		return loss.At, true
	}
	return time.Time{}, false
}

// Suspected reports whether the task was on a target that was lost.
func (isolator *Isolator) Suspected(task string) bool {
	for _, loss := range isolator.byTask[task] {
		if loss.uncleared(task) != nil {
			return true
		}
	}
	return false
}

// Down returns the number of targets that probably crashed under some task and are not back. It counts only those for
// which listed returns true; others were taken away.
func (isolator *Isolator) Down(listed func(target string) bool) int {
	down := 0
	for loss := range isolator.refused {
		if listed(loss.Target) {
			down++
		}
	}
	return down
}

// DownBy returns the number of targets that are not back after a crash that tasks of the route probably caused. Each
// target counts in proportion to the tasks of the route among those that had just started there, if listed returns true
// for it.
func (isolator *Isolator) DownBy(route string, listed func(target string) bool) float64 {
	// The sum must not depend on the order of the losses.
	const shareUnit = 1 << 20
	down := 0
	for loss := range isolator.refused {
		if !listed(loss.Target) {
			continue
		}
		starting, own := 0, 0
		for i := range loss.Suspects {
			if suspect := &loss.Suspects[i]; suspect.mayHaveCrashed() {
				starting++
				if suspect.Route == route {
					own++
				}
			}
		}
		if own > 0 {
			down += own * shareUnit / starting
		}
	}
	return float64(down) / shareUnit
}

// Losses returns all losses in a fixed order.
func (isolator *Isolator) Losses() []Loss {
	losses := make([]Loss, 0, len(isolator.losses))
	for _, loss := range isolator.sorted() {
		losses = append(losses, loss.clone())
	}
	return losses
}

func (isolator *Isolator) sorted() []*Loss {
	return slices.SortedFunc(maps.Values(isolator.losses), func(a, b *Loss) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// Expire drops the losses whose retention has passed.
func (isolator *Isolator) Expire(now time.Time) {
	for _, loss := range isolator.losses {
		retention := unresolvedRetention
		if loss.Evidence == Restarted {
			retention = confirmedRetention
		}
		if now.Sub(loss.At) >= retention {
			isolator.remove(loss)
		}
	}
}
