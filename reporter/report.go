package reporter

import (
	"slices"
	"strings"
	"time"
)

// reportLagMinutes is the number of latest minutes that a report leaves out: the current one, and the previous one,
// which the instances append during the current one.
const reportLagMinutes = 2

// Verdict is the alert state of a kind or a team.
type Verdict string

// Verdicts, in descending order of severity.
const (
	// Page means that the budget burns so fast that an operator must be paged immediately.
	Page Verdict = "page"
	// Ticket means that the budget burns so fast that an operator must investigate it in working hours.
	Ticket Verdict = "ticket"
	// Missing means that the verdict is ok from the known answers, but might not be with the missing or unclaimed ones.
	Missing Verdict = "missing"
	// OK means that the budget does not burn too fast, even if all missing and unclaimed answers were bad.
	OK Verdict = "ok"
	// NoObjective means that the kind has no objective.
	NoObjective Verdict = "no-objective"
)

// windowPair is an alerting rule: the burn rate must exceed factor both over a long window, so that a short spike does
// not alert, and over a short one, so that the alert ends soon after the cause.
type windowPair struct {
	short, long time.Duration
	factor      float64
	verdict     Verdict
}

// windowPairs are the usual multi-window rules for an error budget of 30 days, in descending order of severity. They
// alert when 2%, 5%, 10% and 10% of the budget are used up within the long window.
var windowPairs = []windowPair{
	{5 * time.Minute, time.Hour, 14.4, Page},
	{30 * time.Minute, 6 * time.Hour, 6, Page},
	{2 * time.Hour, 24 * time.Hour, 3, Ticket},
	{6 * time.Hour, 72 * time.Hour, 1, Ticket},
}

// windows are the lengths of all windows in windowPairs, ascending.
var windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 6 * time.Hour, 24 * time.Hour, 72 * time.Hour,
}

// windowStart returns the first minute of a window that ends before minute to, rounded down to a coarse interval for
// windows that are summed from coarse slots.
func windowStart(length time.Duration, to minute) minute {
	from := to - minute(length/time.Minute)
	if to-from > fineMinutes {
		from -= from % coarseMinutes
	}
	return max(from, 0)
}

// Report holds the burn rates and verdicts of all kinds and teams at one time.
type Report struct {
	// AsOf is the end of every window.
	AsOf time.Time `json:"as-of"`
	// Coverage holds one entry per window.
	Coverage []Coverage `json:"coverage"`
	// Unreadable is the number of records that could not be decoded or were ignored.
	Unreadable int   `json:"unreadable-records"`
	Rows       []Row `json:"rows"`
}

// Coverage holds the numbers of minutes of a window for which records are expected and for which they exist, added up
// over the instances.
type Coverage struct {
	WindowMinutes   int64 `json:"window-minutes"`
	ExpectedMinutes int64 `json:"expected-minutes"`
	CoveredMinutes  int64 `json:"covered-minutes"`
}

// Row holds the burn rates and the verdict of one kind, or of one team within a kind.
type Row struct {
	Kind string `json:"kind"`
	// Team is empty in the row of a whole kind.
	Team string `json:"team,omitempty"`
	// WithinMS and Percent are the objective of the kind, or 0 if it has none.
	WithinMS int64   `json:"within-ms,omitempty"`
	Percent  float64 `json:"percent,omitempty"`
	Verdict  Verdict `json:"verdict"`
	// AllowedBad is the number of answers in the longest window that may be bad.
	AllowedBad float64 `json:"allowed-bad"`
	Burns      []Burn  `json:"burns"`
	// Hours holds the hours of the longest window. It is set only in the row of a whole kind.
	Hours []Hour `json:"hours,omitempty"`
}

// Burn holds the answers of one window and their burn rate, which is how fast they use up the error budget.
type Burn struct {
	WindowMinutes int64  `json:"window-minutes"`
	Answers       uint64 `json:"answers"`
	Late          uint64 `json:"late"`
	Failed        uint64 `json:"failed"`
	Refused       uint64 `json:"refused"`
	Unknown       uint64 `json:"unknown"`
	Unclaimed     uint64 `json:"unclaimed"`
	// Rate is the share of bad answers divided by the share that may be bad. It is 0 if the kind has no objective.
	Rate float64 `json:"burn-rate"`
	// WorstRate is what Rate would be if all missing and unclaimed answers were bad. It is null if the kind has no
	// objective, or if records of the window are expected but none exist.
	WorstRate *float64 `json:"worst-burn-rate"`
}

// Bad returns the number of answers that use up the error budget.
func (burn Burn) Bad() uint64 { return burn.Late + burn.Failed + burn.Refused + burn.Unknown }

// Hour holds the answers of one hour, for one step of the curve in the HTML report.
type Hour struct {
	Start     time.Time `json:"start"`
	Answers   uint64    `json:"answers"`
	Bad       uint64    `json:"bad"`
	Unclaimed uint64    `json:"unclaimed"`
	// MissingShare is the share of instance-minutes without a record.
	MissingShare float64 `json:"missing-share"`
}

// Report returns the report at now. It leaves out the latest minutes, which some instances may not have appended yet.
func (aggregator *Aggregator) Report(now time.Time) Report {
	to := minuteOf(now) - reportLagMinutes
	lifetimes := aggregator.lifetimes(to)
	report := Report{AsOf: to.time(), Unreadable: aggregator.unreadable}
	windowCompleteness := make([]completeness, len(windows))
	for i, window := range windows {
		windowCompleteness[i] = aggregator.completeness(lifetimes, windowStart(window, to), to)
		report.Coverage = append(report.Coverage, Coverage{
			WindowMinutes:   int64(window / time.Minute),
			ExpectedMinutes: windowCompleteness[i].expected, CoveredMinutes: windowCompleteness[i].covered,
		})
	}
	countsByWindow := aggregator.countsByWindow(to)
	hours := aggregator.hours(lifetimes, to)
	for series, counts := range countsByWindow {
		objective, hasObjective := aggregator.objectives[series.Kind]
		row := newRow(series, objective, hasObjective, *counts, windowCompleteness)
		if series.Team == "" {
			row.Hours = hours[series.Kind]
		}
		report.Rows = append(report.Rows, row)
	}
	slices.SortFunc(report.Rows, func(a, b Row) int {
		return compareSeries(Series{a.Kind, a.Team}, Series{b.Kind, b.Team})
	})
	return report
}

// windowCounts holds the counts of one series per window.
type windowCounts [7]Counts

// countsByWindow returns the counts per window of every series, and of every kind as the series with an empty team.
func (aggregator *Aggregator) countsByWindow(to minute) map[Series]*windowCounts {
	countsByWindow := make(map[Series]*windowCounts)
	for kind := range aggregator.objectives {
		countsByWindow[Series{Kind: kind}] = new(windowCounts)
	}
	for series, history := range aggregator.histories {
		kind := Series{Kind: series.Kind}
		if countsByWindow[kind] == nil {
			countsByWindow[kind] = new(windowCounts)
		}
		sum := new(windowCounts)
		for i, window := range windows {
			sum[i] = history.sum(windowStart(window, to), to)
			countsByWindow[kind][i].add(sum[i])
		}
		countsByWindow[series] = sum
	}
	return countsByWindow
}

// hours returns the hours of the longest window by kind.
func (aggregator *Aggregator) hours(lifetimes []lifetime, to minute) map[string][]Hour {
	const hourMinutes = 60
	from := windowStart(windows[len(windows)-1], to)
	var emptyHours []Hour
	for start := from; start < to; start += hourMinutes {
		end := min(start+hourMinutes, to)
		hour := Hour{Start: start.time()}
		if completeness := aggregator.completeness(lifetimes, start, end); completeness.expected > 0 {
			hour.MissingShare = float64(completeness.missing()) / float64(completeness.expected)
		}
		emptyHours = append(emptyHours, hour)
	}
	hours := make(map[string][]Hour)
	for kind := range aggregator.objectives {
		hours[kind] = slices.Clone(emptyHours)
	}
	for series, history := range aggregator.histories {
		if hours[series.Kind] == nil {
			hours[series.Kind] = slices.Clone(emptyHours)
		}
		points := hours[series.Kind]
		for i := range history.coarse {
			slot := &history.coarse[i]
			at := minute(slot.index * coarseMinutes)
			if at < from || at >= to {
				continue
			}
			point := &points[(at-from)/hourMinutes]
			var counts Counts
			for class, count := range slot.counts {
				counts[class] = uint64(count)
			}
			point.Answers += counts.Total()
			point.Bad += counts.Bad()
			point.Unclaimed += counts[Unclaimed]
		}
	}
	return hours
}

// newRow returns the row of a series with its verdict.
func newRow(series Series, objective Objective, hasObjective bool, countsByWindow windowCounts, windowCompleteness []completeness) Row {
	row := Row{Kind: series.Kind, Team: series.Team, Verdict: NoObjective}
	for i, counts := range countsByWindow {
		burn := Burn{
			WindowMinutes: int64(windows[i] / time.Minute), Answers: counts.Total(), Late: counts[Late], Failed: counts[Failed],
			Refused: counts[Refused], Unknown: counts[Unknown], Unclaimed: counts[Unclaimed],
		}
		if hasObjective {
			burn.setRates(objective, windowCompleteness[i])
		}
		row.Burns = append(row.Burns, burn)
	}
	if hasObjective {
		row.WithinMS, row.Percent = objective.within.Milliseconds(), objective.percent
		row.AllowedBad = float64(row.Burns[len(row.Burns)-1].Answers) * objective.budget()
		row.Verdict = row.evaluate()
	}
	return row
}

// setRates sets the burn rates. Missing instance-minutes are assumed to have as many answers as the average covered
// one.
func (burn *Burn) setRates(objective Objective, completeness completeness) {
	if burn.Answers > 0 {
		burn.Rate = float64(burn.Bad()) / float64(burn.Answers) / objective.budget()
	}
	if completeness.covered == 0 && completeness.expected > 0 {
		return
	}
	worst := 0.0
	uncounted := float64(burn.Unclaimed)
	if completeness.missing() > 0 {
		uncounted += float64(burn.Answers+burn.Unclaimed) * float64(completeness.missing()) / float64(completeness.covered)
	}
	if total := float64(burn.Answers) + uncounted; total > 0 {
		worst = (float64(burn.Bad()) + uncounted) / total / objective.budget()
	}
	burn.WorstRate = &worst
}

// evaluate returns the most severe verdict that any window pair yields.
func (row Row) evaluate() Verdict {
	verdict := OK
	for _, windowPair := range windowPairs {
		short, long := row.burn(windowPair.short), row.burn(windowPair.long)
		if short.Rate > windowPair.factor && long.Rate > windowPair.factor {
			return windowPair.verdict // The pairs are in order of severity.
		}
		if short.mayExceed(windowPair.factor) && long.mayExceed(windowPair.factor) {
			verdict = Missing
		}
	}
	return verdict
}

// mayExceed reports whether the burn rate would exceed factor if all missing and unclaimed answers were bad.
func (burn Burn) mayExceed(factor float64) bool {
	return burn.WorstRate == nil || *burn.WorstRate > factor
}

// burn returns the burn of a window, which must be one of windows.
func (row Row) burn(window time.Duration) Burn {
	return row.Burns[slices.Index(windows, window)]
}

// WorstVerdict returns the most severe verdict of all rows.
func (report Report) WorstVerdict() Verdict {
	order := []Verdict{Page, Ticket, Missing, OK, NoObjective}
	worst := NoObjective
	for _, row := range report.Rows {
		if slices.Index(order, row.Verdict) < slices.Index(order, worst) {
			worst = row.Verdict
		}
	}
	return worst
}

// title returns the kind, followed by the team if the row is for one.
func (row Row) title() string {
	return strings.TrimSuffix(row.Kind+" / "+row.Team, " / ")
}
