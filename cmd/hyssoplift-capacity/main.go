// Command hyssoplift-capacity generates the capacity page from the output of go test -bench.
package main

import (
	_ "embed"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/estimator"
)

// sweep is the section on plays of whole deployments at several sizes, which no benchmark of this repository produces.
//
//go:embed sweep.md
var sweep string

func main() {
	if err := run(os.Args[1:], os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hyssoplift-capacity:", eris.ToString(err, false))
		os.Exit(1)
	}
}

// run reads benchmark output from the file named in args, or from stdin if there is none, and writes the page to
// stdout.
func run(args []string, stdin io.Reader, stdout io.Writer) error {
	set := flag.NewFlagSet("hyssoplift-capacity", flag.ContinueOnError)
	if err := set.Parse(args); err != nil {
		return err
	}
	source := stdin
	switch set.NArg() {
	case 0:
	case 1:
		file, err := os.Open(set.Arg(0))
		if err != nil {
			return eris.Wrap(err, "opening the benchmark output")
		}
		defer file.Close()
		source = file
	default:
		return eris.New("usage: hyssoplift-capacity [benchmark output file]")
	}
	measurements, err := estimator.Parse(source)
	if err != nil {
		return err
	}
	if err := estimator.New(measurements, estimator.TargetScale()).WritePage(stdout); err != nil {
		return err
	}
	_, err = io.WriteString(stdout, sweep)
	return eris.Wrap(err, "writing the page")
}
