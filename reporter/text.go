package reporter

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// WriteText writes the report as a text table with the burn rate of each window. Where answers are missing or
// unclaimed, the worst case follows in parentheses.
func (report Report) WriteText(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "burn as of %s\n\n", report.AsOf.Format(time.RFC3339))
	fmt.Fprint(table, "kind / team\tverdict\tobjective\tanswers\tbad\tunclaimed\tbudget left")
	for _, window := range windows {
		fmt.Fprintf(table, "\t%s", windowName(int64(window/time.Minute)))
	}
	fmt.Fprintln(table)
	for _, row := range report.Rows {
		longest := row.longest()
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s", row.title(), row.Verdict, row.objective(),
			longest.Answers, longest.Bad(), longest.Unclaimed, row.budgetLeft())
		for _, burn := range row.Burns {
			fmt.Fprintf(table, "\t%s", row.burnText(burn))
		}
		fmt.Fprintln(table)
	}
	fmt.Fprint(table, "minutes without a record\t\t\t\t\t\t")
	for _, coverage := range report.Coverage {
		fmt.Fprintf(table, "\t%s", coverage.missingText())
	}
	fmt.Fprintln(table)
	if report.Unreadable > 0 {
		fmt.Fprintf(table, "\n%d records could not be used\n", report.Unreadable)
	}
	return eris.Wrap(table.Flush(), "writing the report")
}

func windowName(minutes int64) string {
	switch {
	case minutes%(24*60) == 0:
		return strconv.FormatInt(minutes/(24*60), 10) + "d"
	case minutes%60 == 0:
		return strconv.FormatInt(minutes/60, 10) + "h"
	}
	return strconv.FormatInt(minutes, 10) + "m"
}

func (row Row) longest() Burn { return row.Burns[len(row.Burns)-1] }

func (row Row) objective() string {
	if row.Verdict == NoObjective {
		return "none"
	}
	return fmt.Sprintf("%v%% in %d ms", row.Percent, row.WithinMS)
}

// budgetLeft returns the share of the longest window's error budget that is left, and in parentheses the worst case if
// it differs.
func (row Row) budgetLeft() string {
	longest := row.longest()
	switch {
	case row.Verdict == NoObjective:
		return "-"
	case longest.WorstRate == nil:
		return "?"
	case longest.Answers == 0:
		return "no answers"
	}
	text := budgetText(longest.Rate)
	if worst := budgetText(*longest.WorstRate); worst != text {
		text += " (" + worst + ")"
	}
	return text
}

func budgetText(rate float64) string { return fmt.Sprintf("%.0f%%", 100*(1-rate)) }

func (row Row) burnText(burn Burn) string {
	if row.Verdict == NoObjective {
		return "-"
	}
	if burn.WorstRate == nil {
		return "missing"
	}
	text := rateText(burn.Rate)
	if worst := rateText(*burn.WorstRate); worst != text {
		text += " (" + worst + ")"
	}
	return text
}

func rateText(rate float64) string { return strconv.FormatFloat(math.Round(rate*100)/100, 'f', -1, 64) }

func (coverage Coverage) missingText() string {
	if coverage.ExpectedMinutes == 0 {
		return "0%"
	}
	return strconv.FormatFloat(coverage.missingPercent(), 'g', 3, 64) + "%"
}

func (coverage Coverage) missingPercent() float64 {
	return 100 * float64(coverage.ExpectedMinutes-coverage.CoveredMinutes) / float64(coverage.ExpectedMinutes)
}
