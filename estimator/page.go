package estimator

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// page builds the text of docs/CAPACITY.md.
type page struct{ strings.Builder }

func (page *page) linef(format string, args ...any) { fmt.Fprintf(page, format+"\n", args...) }

// WritePage writes the capacity page as Markdown.
func (estimate *Estimate) WritePage(writer io.Writer) error {
	page := &page{}
	page.linef("# Capacity estimate\n")
	estimate.writeFindings(page)
	estimate.writeBasis(page)
	estimate.writeRoleTables(page)
	estimate.writeControlWork(page)
	estimate.writeSizing(page)
	estimate.writeLossScenarios(page)
	estimate.writeLogAppends(page)
	page.linef("%s", notMeasurable)
	estimate.writeFits(page)
	_, err := io.WriteString(writer, page.String())
	return eris.Wrap(err, "writing the capacity page")
}

// writeFindings lists the rows that exceed a limit below the target scale, the memory for held answers, the total of
// the control work and the missing benchmarks. It comes first on the page, so that shortfalls are seen first.
func (estimate *Estimate) writeFindings(page *page) {
	page.linef("Where the design does not reach the target scale (section 1 of [design.md](design.md)):\n")
	found := false
	for i, evaluated := range estimate.rows {
		if point := estimate.saturations[i]; point.BelowTarget() {
			found = true
			page.linef("- **%s, %s** breaks at %s %s; the target is %s (%s passes its limit, %s). %s. Next mechanism: %s.",
				upperFirst(evaluated.role), evaluated.function, formatNumber(point.size), evaluated.driver, formatNumber(point.target),
				point.resource, point.grade, upperFirst(evaluated.bottleneck), evaluated.nextMechanism)
		}
	}
	if !found {
		page.linef("- No row breaks below the target scale.")
	}
	page.linef("- **Held answers** rest on an assumption, results of %s bytes: they need %s bytes for the whole retention, and the setting max-answer-bytes allows %s by default. Beyond it the oldest are answered \"answer lost\".",
		formatNumber(estimate.scale.resultBytes), formatNumber(estimate.scale.heldAnswerBytes()), formatNumber(defaultMaxAnswerBytes))
	controlTotal := estimate.controlTotal()
	page.linef("- **Control work in all** against the budget per node: CPU %s, memory %s, bytes/s %s.", formatPercent(controlTotal.cpu, budgetCPU),
		formatPercent(controlTotal.memory, budgetMemory), formatPercent(controlTotal.wire, budgetWire))
	if missing := estimate.Missing(); len(missing) > 0 {
		page.linef("- Not measured yet, and absent from every sum below: `%s`.", strings.Join(missing, "`, `"))
	}
	page.linef("")
}

func (estimate *Estimate) writeBasis(page *page) {
	scale := estimate.scale
	page.linef(`This page is generated. One command, on an otherwise idle machine, writes it:

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
`, orNotNamed(estimate.measurements.cpu), estimate.measurements.FamilyCount(),
		formatNumber(scale.targets), formatNumber(scale.startRate), formatNumber(scale.teams), formatNumber(scale.regions), formatNumber(scale.domains),
		formatNumber(scale.bundlesPerDay), formatNumber(scale.failuresPerDay), formatNumber(scale.replacementsPerDay),
		formatNumber(scale.tasksPerJob), formatNumber(scale.taskSeconds), formatNumber(scale.resultBytes), formatNumber(scale.instancesPerDomain),
		formatNumber(scale.cores), formatNumber(scale.memoryBytes), formatNumber(scale.usableShare*100), formatNumber(scale.retentionSeconds),
		formatNumber(scale.kinds), formatNumber(scale.seriesPerInstance), formatNumber(scale.maxLogAppendRate))
}

func (estimate *Estimate) writeRoleTables(page *page) {
	role := ""
	for i, evaluated := range estimate.rows {
		if evaluated.role != role {
			role = evaluated.role
			page.linef("\n## %s\n", upperFirst(role))
			page.linef("| function | state B | messages/s | bytes/s | CPU, cores | memory B | carried by | breaks first at | what breaks there | next mechanism |")
			page.linef("|---|---|---|---|---|---|---|---|---|---|")
		}
		page.linef("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |", evaluated.function,
			evaluated.state, evaluated.messages, evaluated.wire, evaluated.cpu, evaluated.memory,
			evaluated.mechanism, estimate.saturations[i].describe(evaluated.driver), evaluated.bottleneck, evaluated.nextMechanism)
	}
	page.linef("\nFigures are per entry instance; for the caller library per caller process (one per team); for the platform in total.")
}

func (point Saturation) describe(driver driver) string {
	if point.resource == "" {
		return fmt.Sprintf("not below %s %s", formatNumber(point.size), driver)
	}
	return fmt.Sprintf("%s %s (%s)", formatNumber(point.size), driver, point.resource)
}

func (estimate *Estimate) writeControlWork(page *page) {
	page.linef("\n## Control work against the budget per node\n")
	page.linef("The budget is 1.3%% of a core, 64 MB and 28 KB/s. Control work is everything whose rate does not follow the requests.\n")
	page.linef("| row | CPU | of budget | memory | of budget | bytes/s | of budget |\n|---|---|---|---|---|---|---|")
	write := func(name string, evaluated EvaluatedRow) {
		page.linef("| %s | %s | %s | %s | %s | %s | %s |", name, evaluated.cpu, formatPercent(evaluated.cpu, budgetCPU),
			evaluated.memory, formatPercent(evaluated.memory, budgetMemory), evaluated.wire, formatPercent(evaluated.wire, budgetWire))
	}
	for _, evaluated := range estimate.rows {
		if evaluated.control {
			write(evaluated.role+": "+evaluated.function, evaluated)
		}
	}
	write("**all control rows**", estimate.controlTotal())
}

func (estimate *Estimate) writeFits(page *page) {
	page.linef("\n## Fitted lines\n")
	page.linef("Value = intercept + slope x size; the spread is the standard deviation of the residuals, in percent of the values.\n")
	page.linef("| benchmark | unit | size is | measured sizes | slope | intercept | spread |\n|---|---|---|---|---|---|---|")
	keys := make([]seriesKey, 0, len(estimate.measurements.samples))
	for key := range estimate.measurements.samples {
		if key.unit != "allocs/op" {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b seriesKey) int {
		return strings.Compare(a.family+" "+a.dimension+" "+a.unit, b.family+" "+b.dimension+" "+b.unit)
	})
	for _, key := range keys {
		fit, _ := estimate.measurements.fit(key)
		if !fit.Fitted() {
			page.linef("| %s | %s | %s | %s to %s | not fitted | %s | |", key.family, key.unit, key.dimension, formatNumber(fit.low), formatNumber(fit.high), formatNumber(fit.intercept))
			continue
		}
		page.linef("| %s | %s | %s | %s to %s | %s | %s | %s%% |", key.family, key.unit, key.dimension,
			formatNumber(fit.low), formatNumber(fit.high), formatNumber(fit.slope), formatNumber(fit.intercept), formatNumber(100*fit.spread))
	}
}
