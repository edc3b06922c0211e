package estimator

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// page collects the text of docs/CAPACITY.md.
type page struct{ strings.Builder }

func (page *page) line(format string, args ...any) { fmt.Fprintf(page, format+"\n", args...) }

// WritePage writes the capacity page as Markdown.
func (estimate *Estimate) WritePage(writer io.Writer) error {
	page := &page{}
	page.line("# Capacity estimate\n")
	estimate.writeFindings(page)
	estimate.writeBasis(page)
	estimate.writeRoles(page)
	estimate.writeControl(page)
	estimate.writeSizing(page)
	estimate.writeLosses(page)
	estimate.writeLog(page)
	page.line("%s", notMeasurable)
	estimate.writeFits(page)
	_, err := io.WriteString(writer, page.String())
	return eris.Wrap(err, "writing the page")
}

// writeFindings states first where the design does not reach the target scale.
func (estimate *Estimate) writeFindings(page *page) {
	page.line("Where the design does not reach the target scale (section 1 of [design.md](design.md)):\n")
	found := false
	for i, evaluated := range estimate.entries {
		if point := estimate.points[i]; point.BelowTarget() {
			found = true
			page.line("- **%s, %s** breaks at %s %s; the target is %s (%s passes its limit, %s). %s. Next mechanism: %s.",
				upperFirst(evaluated.role), evaluated.function, number(point.size), evaluated.driver, number(point.target),
				point.resource, point.grade, upperFirst(evaluated.breaks), evaluated.next)
		}
	}
	if !found {
		page.line("- No row breaks below the target scale.")
	}
	page.line("- **Held answers** rest on an assumption, results of %s bytes: they need %s bytes for the whole retention, and the setting max-answer-bytes allows %s by default. Beyond it the oldest are answered \"answer lost\".",
		number(estimate.scale.resultBytes), number(estimate.scale.heldAnswerBytes()), number(answerBudget))
	control := estimate.control()
	page.line("- **Control work in all** against the budget per node: CPU %s, memory %s, bytes/s %s.", percent(control.cpu, budgetCPU),
		percent(control.memory, budgetMemory), percent(control.wire, budgetWire))
	if missing := estimate.Missing(); len(missing) > 0 {
		page.line("- Not measured yet, and absent from every sum below: `%s`.", strings.Join(missing, "`, `"))
	}
	page.line("")
}

func (estimate *Estimate) writeBasis(page *page) {
	scale := estimate.scale
	page.line(`This page is generated. One command, on an otherwise idle machine, writes it:

    go test -run '^$' -bench . -benchmem -cpu 2 -p 1 ./... | go run ./cmd/hyssoplift-capacity > docs/CAPACITY.md

Measured on: %s; %d benchmark families. Benchmarks over sockets include the stand-in at the other end, so
they are upper bounds.

Marks: *c* calculated from the protocol and the assumptions, no measurement; *x* extrapolated: a measured cost,
within the measured sizes, times a rate that was never run; *xx* extrapolated beyond the measured sizes;
*nf* not fitted: fewer than three sizes. "+ ?" marks a sum that lacks rows that are not measured yet. No
figure of the target scale was run.

Given by the design page: %s targets, %s task starts/s, %s teams, %s regions, %s failure domains, %s bundles a
day, %s failed and %s replaced instances a day. Assumed: %s tasks per job, %s s per task, results of %s bytes,
%s instances per failure domain of %s cores and %sB (%s%% of the cores usable at the peak), retention %s s,
%s kinds, %s burn series per instance, the log sustains %s appends/s.
`, orUnknown(estimate.measurements.cpu), estimate.measurements.FamilyCount(),
		number(scale.targets), number(scale.starts), number(scale.teams), number(scale.regions), number(scale.domains),
		number(scale.changes), number(scale.failures), number(scale.replacements),
		number(scale.tasksPerJob), number(scale.taskSeconds), number(scale.resultBytes), number(scale.instancesPerDomain),
		number(scale.cores), number(scale.memoryBytes), number(scale.usable*100), number(scale.retentionSeconds),
		number(scale.kinds), number(scale.seriesPerInstance), number(scale.logAppends))
}

func (estimate *Estimate) writeRoles(page *page) {
	role := ""
	for i, evaluated := range estimate.entries {
		if evaluated.role != role {
			role = evaluated.role
			page.line("\n## %s\n", upperFirst(role))
			page.line("| function | state B | messages/s | bytes/s | CPU, cores | memory B | carried by | breaks first at | what breaks there | next mechanism |")
			page.line("|---|---|---|---|---|---|---|---|---|---|")
		}
		page.line("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |", evaluated.function,
			evaluated.state, evaluated.messages, evaluated.wire, evaluated.cpu, evaluated.memory,
			evaluated.mechanism, estimate.points[i].text(evaluated.driver), evaluated.breaks, evaluated.next)
	}
	page.line("\nFigures are per entry instance; for the caller library per caller process (one per team); for the platform in total.")
}

func (point Saturation) text(driver driver) string {
	if point.resource == "" {
		return fmt.Sprintf("not below %s %s", number(point.size), driver)
	}
	return fmt.Sprintf("%s %s (%s)", number(point.size), driver, point.resource)
}

func (estimate *Estimate) writeControl(page *page) {
	page.line("\n## Control work against the budget per node\n")
	page.line("The budget is 1.3%% of a core, 64 MB and 28 KB/s. Control work is everything whose rate does not follow the requests.\n")
	page.line("| row | CPU | of budget | memory | of budget | bytes/s | of budget |\n|---|---|---|---|---|---|---|")
	write := func(name string, evaluated EvaluatedRow) {
		page.line("| %s | %s | %s | %s | %s | %s | %s |", name, evaluated.cpu, percent(evaluated.cpu, budgetCPU),
			evaluated.memory, percent(evaluated.memory, budgetMemory), evaluated.wire, percent(evaluated.wire, budgetWire))
	}
	for _, evaluated := range estimate.entries {
		if evaluated.control {
			write(evaluated.role+": "+evaluated.function, evaluated)
		}
	}
	write("**all control rows**", estimate.control())
}

func (estimate *Estimate) writeFits(page *page) {
	page.line("\n## Fitted lines\n")
	page.line("Value = intercept + slope x size; the spread is the standard deviation of the residuals, in percent of the values.\n")
	page.line("| benchmark | unit | size is | measured sizes | slope | intercept | spread |\n|---|---|---|---|---|---|---|")
	keys := make([]series, 0, len(estimate.measurements.samples))
	for key := range estimate.measurements.samples {
		if key.unit != "allocs/op" {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b series) int {
		return strings.Compare(a.family+" "+a.dimension+" "+a.unit, b.family+" "+b.dimension+" "+b.unit)
	})
	for _, key := range keys {
		fit, _ := estimate.measurements.fit(key)
		if !fit.Fitted() {
			page.line("| %s | %s | %s | %s to %s | not fitted | %s | |", key.family, key.unit, key.dimension, number(fit.low), number(fit.high), number(fit.intercept))
			continue
		}
		page.line("| %s | %s | %s | %s to %s | %s | %s | %s%% |", key.family, key.unit, key.dimension,
			number(fit.low), number(fit.high), number(fit.slope), number(fit.intercept), number(100*fit.spread))
	}
}
