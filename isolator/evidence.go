package isolator

import (
	"math"
	"slices"
	"time"
)

const (
	// crashesToConvict is the number of crashes under a task after which it may be given up, whoever its neighbours were.
	// One crash fewer suffices if, in one of them, no other job was on the target and the task had just started.
	crashesToConvict = 3
	// maxFalseConviction is the accepted probability that so many targets are lost under a task by chance.
	maxFalseConviction = 1e-6
	// maxLostRuns is the number of losses after which a task does not start again however likely they are by chance, including
	// those on which it may never have started. The users allow two more starts after three crashes; one is left for a crash
	// that no instance knows of.
	maxLostRuns = 4
	// unheardPeriod is for how long a target that left a start unanswered may have been lost before.
	unheardPeriod = 10 * time.Second
	// noticeDelay is the longest usual time from the end of a target to the moment at which it is noticed.
	noticeDelay = 10 * time.Millisecond
	// longWindow and shortWindow are the periods around a loss in which other losses count for the rate of losses.
	longWindow  = 30 * time.Second
	shortWindow = 3 * time.Second
	// likelyByChance is the probability from which a loss does not isolate the tasks that had just started there.
	likelyByChance = 0.05
)

// assessment is a verdict and the state that it was derived from.
type assessment struct {
	verdict Verdict
	version int
	targets int
}

// Assess returns whether and where a task may start. targets is the number of known targets.
func (isolator *Isolator) Assess(task string, targets int) Verdict {
	losses := isolator.byTask[task]
	if len(losses) == 0 {
		return Free
	}
	if known, ok := isolator.assessed[task]; ok && known.version == isolator.version && known.targets == targets {
		return known.verdict
	}
	verdict := isolator.assess(task, losses, targets)
	isolator.assessed[task] = assessment{verdict, isolator.version, targets}
	return verdict
}

func (isolator *Isolator) assess(task string, losses []*Loss, targets int) Verdict {
	var confirmed, known tally
	suspicious := false
	for _, crash := range crashesUnder(task, losses) {
		suspicious = suspicious || crash.loss.Evidence >= Refused && crash.suspect.mayHaveCrashed() &&
			isolator.chanceWithin(crash, crash.suspect.Age+noticeDelay, true, targets) < likelyByChance
		known.add(crash)
		if crash.loss.Evidence == Restarted {
			confirmed.add(crash)
		}
	}
	switch {
	case isolator.convicts(&confirmed, targets):
		return Convicted
	case len(confirmed.losses) >= maxLostRuns:
		return Exhausted
	case len(known.losses) >= maxLostRuns || isolator.convicts(&known, targets):
		return Held
	case suspicious || known.crashes > 1:
		return Isolated
	}
	return Free
}

// convicts reports whether the losses of a task suffice to give it up, if all of them are crashes.
func (isolator *Isolator) convicts(tally *tally, targets int) bool {
	exhausted := len(tally.losses) >= maxLostRuns
	if !exhausted && tally.crashes < crashesToConvict && !(tally.crashes == crashesToConvict-1 && tally.alone) {
		return false
	}
	var chances []float64
	for _, crash := range tally.losses {
		if crash.accepted() || exhausted {
			chances = append(chances, isolator.chance(crash, crash.alone(), targets))
		}
	}
	return combine(chances) <= maxFalseConviction
}

// Incrimination is a loss that counts against a task.
type Incrimination struct {
	Loss
	// Suspect is the run of the task.
	Suspect Suspect
	// Alone means that only tasks of the same job were on the target, and that the task had just started.
	Alone bool
	// Chance is the probability that the target was lost by chance while the task ran there, or was lost before if it had not
	// accepted the task.
	Chance float64
}

// Neighbours returns the number of other runs that may have been on the target.
func (incrimination *Incrimination) Neighbours() int {
	count := 0
	for i := range incrimination.Suspects {
		if suspect := &incrimination.Suspects[i]; !suspect.Cleared && suspect.Task != incrimination.Suspect.Task {
			count++
		}
	}
	return count
}

// Against returns the losses that count against a task, in the order in which they were noticed.
func (isolator *Isolator) Against(task string, targets int) []Incrimination {
	var against []Incrimination
	for _, crash := range crashesUnder(task, isolator.byTask[task]) {
		alone := crash.alone()
		against = append(against, Incrimination{
			Loss: crash.loss.clone(), Suspect: *crash.suspect, Alone: alone, Chance: isolator.chance(crash, alone, targets),
		})
	}
	slices.SortStableFunc(against, func(a, b Incrimination) int { return a.At.Compare(b.At) })
	return against
}

// combine returns the probability that independent events with uniformly distributed chances are together as unlikely as
// the given ones, by Fisher's method.
func combine(chances []float64) float64 {
	product := 1.0
	for _, chance := range chances {
		product *= chance
	}
	sum, term := 0.0, 1.0
	for i := range chances {
		sum += term
		term *= -math.Log(product) / float64(i+1)
	}
	return product * sum
}

// chance returns the probability that a target is lost by chance while a task runs there up to the age of the suspect, or, if
// it has not accepted the suspect, that it was lost before. The other losses around that time show it: for a task alone on its
// target, those that no starting task explains, and otherwise all, since a neighbour may have caused the loss.
func (isolator *Isolator) chance(crash crash, alone bool, targets int) float64 {
	if !crash.accepted() {
		return isolator.chanceWithin(crash, unheardPeriod, alone, targets)
	}
	return isolator.chanceWithin(crash, crash.suspect.Age+noticeDelay, alone, targets)
}

// chanceWithin returns the probability that the target is lost by chance within the given time.
func (isolator *Isolator) chanceWithin(crash crash, exposure time.Duration, alone bool, targets int) float64 {
	job := JobOf(crash.suspect.Task)
	// Half a loss stands for those that have not been seen yet, and a single loss at the same moment may be a coincidence.
	long, short, moment := 0.5, 0.0, -1.0
	for _, other := range isolator.losses {
		distance := other.At.Sub(crash.loss.At).Abs()
		if other == crash.loss || distance > longWindow/2 || alone && other.explained() || other.involves(job) {
			continue
		}
		long++
		if distance <= shortWindow/2 {
			short++
		}
		if distance <= exposure {
			moment++
		}
	}
	rate := max(long/longWindow.Seconds(), short/shortWindow.Seconds())
	return min(1, max(rate*exposure.Seconds(), moment)/float64(max(targets, 1)))
}

// crash is a loss of a target that a run of a task may have crashed.
type crash struct {
	loss    *Loss
	suspect *Suspect
}

// crashesUnder returns the losses under which a run of the task that is not cleared was on the target.
func crashesUnder(task string, losses []*Loss) []crash {
	var crashes []crash
	for _, loss := range losses {
		if suspect := loss.uncleared(task); suspect != nil {
			crashes = append(crashes, crash{loss, suspect})
		}
	}
	return crashes
}

// accepted reports whether the target had accepted the run.
func (crash crash) accepted() bool { return crash.suspect.Fate == Accepted }

// alone reports whether only tasks of the suspect's job were on the target, and the suspect had just started.
func (crash crash) alone() bool {
	return crash.suspect.starting() && crash.loss.within(JobOf(crash.suspect.Task))
}

// sameStart is the largest difference between the times at which two instances place the start of a run.
const sameStart = 100 * time.Millisecond

// sameRun reports whether both are losses of one run. Instances may know the target by different incarnations.
func (crash crash) sameRun(other crash) bool {
	return crash.loss.Target == other.loss.Target && crash.suspect.Attempt == other.suspect.Attempt &&
		crash.startedAt().Sub(other.startedAt()).Abs() <= sameStart
}

func (crash crash) startedAt() time.Time { return crash.loss.At.Add(-crash.suspect.Age) }

// tally counts the losses of a task.
type tally struct {
	// losses holds one loss of each run, and crashes counts those whose target had accepted the task.
	losses  []crash
	crashes int
	// alone means that the task was alone in one of the crashes.
	alone bool
}

func (tally *tally) add(added crash) {
	for i, known := range tally.losses {
		if !known.sameRun(added) {
			continue
		}
		if known.accepted() || !added.accepted() {
			return
		}
		tally.losses = slices.Delete(tally.losses, i, i+1)
		break
	}
	tally.losses = append(tally.losses, added)
	if added.accepted() {
		tally.crashes++
		tally.alone = tally.alone || added.alone()
	}
}
