package reporter

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// reportPage repeats the width and the height of a plot.
	plotWidth  = 900.0
	plotHeight = 140.0
	// maxPlottedRate is the burn rate at the top edge of a plot. It is above the highest threshold.
	maxPlottedRate = 20.0
)

// WriteHTML writes the report as one HTML page without references to other files.
func (report Report) WriteHTML(writer io.Writer) error {
	return eris.Wrap(reportPage.Execute(writer, htmlReport{report}), "writing the report")
}

// htmlReport provides the data of the page template.
type htmlReport struct{ Report }

// Windows returns the names of the windows, such as 5m.
func (htmlReport) Windows() []string {
	var names []string
	for _, window := range windows {
		names = append(names, windowName(int64(window/time.Minute)))
	}
	return names
}

// HTMLRows returns the rows of the table.
func (report htmlReport) HTMLRows() []htmlRow {
	var rows []htmlRow
	for _, row := range report.Rows {
		rows = append(rows, htmlRow{row})
	}
	return rows
}

// MissingTexts returns the share of missing minutes per window.
func (report htmlReport) MissingTexts() []string {
	var texts []string
	for _, coverage := range report.Coverage {
		texts = append(texts, coverage.missingText())
	}
	return texts
}

// htmlRow provides the data of one row to the page template.
type htmlRow struct{ Row }

// Title returns the kind, followed by the team if the row is for one.
func (row htmlRow) Title() string { return row.title() }

// ObjectiveText returns the objective as text.
func (row htmlRow) ObjectiveText() string { return row.objective() }

// Longest returns the burn of the longest window.
func (row htmlRow) Longest() Burn { return row.longest() }

// BudgetLeft returns the part of the error budget that is left.
func (row htmlRow) BudgetLeft() string { return row.budgetLeft() }

// BurnTexts returns the burn rate per window.
func (row htmlRow) BurnTexts() []string {
	var texts []string
	for _, burn := range row.Burns {
		texts = append(texts, row.burnText(burn))
	}
	return texts
}

// Plotted reports whether the row has a plot.
func (row htmlRow) Plotted() bool { return len(row.Hours) > 0 && row.Verdict != NoObjective }

// plotY returns the y coordinate of a burn rate. The square root scale keeps a rate of 1 visible.
func plotY(rate float64) float64 {
	return plotHeight * (1 - math.Sqrt(min(rate, maxPlottedRate)/maxPlottedRate))
}

// plotMark is a bar over the full height of the plot.
type plotMark struct {
	X, Width, Opacity float64
	Title             string
}

// Gaps returns a bar for each hour with missing minutes. The more are missing, the darker the bar.
func (row htmlRow) Gaps() []plotMark {
	var marks []plotMark
	width := plotWidth / float64(len(row.Hours))
	for i, hour := range row.Hours {
		if hour.MissingShare > 0 {
			marks = append(marks, plotMark{
				X: float64(i) * width, Width: width, Opacity: 0.15 + 0.85*hour.MissingShare,
				Title: fmt.Sprintf("%s: %.3g%% of the minutes are missing", hour.Start.Format(time.RFC3339), 100*hour.MissingShare),
			})
		}
	}
	return marks
}

// Lines returns the lines of the burn rate curve, each as the points of a polyline. An hour without answers has no rate
// and ends a line.
func (row htmlRow) Lines() []string {
	var lines []string
	var line strings.Builder
	width := plotWidth / float64(len(row.Hours))
	for i, hour := range row.Hours {
		if hour.Answers == 0 {
			if line.Len() > 0 {
				lines = append(lines, line.String())
				line.Reset()
			}
			continue
		}
		rate := float64(hour.Bad) / float64(hour.Answers) / (1 - row.Percent/100)
		fmt.Fprintf(&line, "%.1f,%.1f %.1f,%.1f ", float64(i)*width, plotY(rate), float64(i+1)*width, plotY(rate))
	}
	if line.Len() > 0 {
		lines = append(lines, line.String())
	}
	return lines
}

// threshold is a horizontal line in the plot with its label.
type threshold struct {
	Y    float64
	Text string
}

// Thresholds returns the lines for the factors of the window pairs.
func (htmlRow) Thresholds() []threshold {
	var thresholds []threshold
	for _, windowPair := range windowPairs {
		thresholds = append(thresholds, threshold{
			Y: plotY(windowPair.factor), Text: fmt.Sprintf("%v (%s over %s)", windowPair.factor, windowPair.verdict, windowName(int64(windowPair.long/time.Minute))),
		})
	}
	return thresholds
}

var reportPage = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>hyssoplift burn</title>
<style>
body { font: 14px sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
th, td { text-align: right; padding: 0.2em 0.7em; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
.page { background: #c62828; color: #fff; }
.ticket { background: #ffb74d; }
.missing { background: #bdbdbd; }
.ok { background: #a5d6a7; }
svg { background: #fafafa; border: 1px solid #ddd; display: block; }
</style>
</head>
<body>
<h1>Burn as of {{.AsOf.Format "2006-01-02 15:04 MST"}}</h1>
<p>Burn rates per window; in parentheses the rate if every missing and unclaimed answer were bad.</p>
<table>
<tr><th>kind / team</th><th>verdict</th><th>objective</th><th>answers</th><th>bad</th><th>unclaimed</th><th>budget left</th>
{{- range .Windows}}<th>{{.}}</th>{{end}}</tr>
{{range .HTMLRows -}}
<tr><td>{{.Title}}</td><td class="{{.Verdict}}">{{.Verdict}}</td><td>{{.ObjectiveText}}</td><td>{{.Longest.Answers}}</td><td>{{.Longest.Bad}}</td><td>{{.Longest.Unclaimed}}</td><td>{{.BudgetLeft}}</td>
{{- range .BurnTexts}}<td>{{.}}</td>{{end}}</tr>
{{end -}}
<tr><td colspan="7">minutes without a record</td>{{range .MissingTexts}}<td>{{.}}</td>{{end}}</tr>
</table>
{{if .Unreadable}}<p>{{.Unreadable}} records could not be used.</p>{{end}}
{{range .HTMLRows}}{{if .Plotted -}}
<h2>{{.Title}}</h2>
<p>Burn rate per hour over three days (square root scale); grey bars are hours with missing minutes.</p>
<svg viewBox="0 0 900 150" width="900" height="150" role="img" aria-label="burn rate of {{.Title}}">
{{range .Gaps}}<rect x="{{.X}}" y="0" width="{{.Width}}" height="140" fill="#9e9e9e" fill-opacity="{{.Opacity}}"><title>{{.Title}}</title></rect>
{{end}}{{range .Thresholds}}<line x1="0" x2="900" y1="{{.Y}}" y2="{{.Y}}" stroke="#bbb" stroke-dasharray="4 4"/><text x="4" y="{{.Y}}" dy="-2" font-size="10" fill="#666">{{.Text}}</text>
{{end}}{{range .Lines}}<polyline points="{{.}}" fill="none" stroke="#c62828" stroke-width="1.5"/>
{{end}}</svg>
{{end}}{{end}}</body>
</html>
`))
