// Command hyssoplift-measure compares routing policies in virtual time and prints Markdown tables.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/hyssoplift/hyssoplift/measurer"
)

func main() {
	var options measurer.Options
	flag.StringVar(&options.Deployment, "deployment", "", "deployment to measure; empty means all")
	flag.StringVar(&options.Load, "load", "", "load to measure; empty means all")
	flag.StringVar(&options.Group, "group", "", "group of variants to measure; empty means all")
	flag.IntVar(&options.Seeds, "seeds", 3, "runs per variant and load, with the seeds 1, 2 and so on")
	flag.Parse()
	if err := measurer.WriteTables(os.Stdout, options); err != nil {
		fmt.Fprintln(os.Stderr, "hyssoplift-measure:", err)
		os.Exit(1)
	}
}
