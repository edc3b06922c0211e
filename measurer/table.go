package measurer

import (
	"fmt"
	"io"
	"strings"
)

// Options selects the cells of a table; an empty name selects all.
type Options struct {
	// Deployment, Load and Group are names.
	Deployment, Load, Group string
	// Seeds is the number of runs per cell, with the seeds 1, 2, and so on.
	Seeds int
}

// WriteTables measures the selected cells and writes one table per deployment and group.
func WriteTables(writer io.Writer, options Options) error {
	seeds := make([]uint64, options.Seeds)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	for _, deployment := range Deployments() {
		for _, group := range Groups() {
			if !matches(options.Deployment, deployment.name) || !matches(options.Group, group.name) {
				continue
			}
			if err := writeTable(writer, deployment, group, options.Load, seeds); err != nil {
				return err
			}
		}
	}
	return nil
}

func matches(wanted, name string) bool { return wanted == "" || wanted == name }

func writeTable(writer io.Writer, deployment Deployment, group Group, load string, seeds []uint64) error {
	var text strings.Builder
	fmt.Fprintf(&text, "\n#### %s, %s\n\n", deployment.name, group.name)
	text.WriteString("| load | variant | mean | p99 | p99 with failed | wasted per 1,000 tasks | wasted % | refused % | failed % | started twice | untrue refusals |\n")
	text.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, candidate := range Loads() {
		if !matches(load, candidate.name) {
			continue
		}
		for _, variant := range group.variants {
			results := Measure(deployment, candidate, variant, seeds)
			fmt.Fprintf(&text, "| %s | %s | %.2f | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f | %d | %d |\n",
				candidate.name, variant.name, results.Mean, results.P99, results.P99WithFailed, results.WastedPerThousand, 100*results.WastedRatio,
				100*results.RefusedRatio, 100*results.FailedRatio, results.StartedTwice, results.UntrueRefusals)
		}
	}
	_, err := io.WriteString(writer, text.String())
	return err
}
