package commander

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/accountant"
	"github.com/hyssoplift/hyssoplift/appender"
	"github.com/hyssoplift/hyssoplift/reporter"
)

func newReport(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:        "report",
		ShortUsage:  "hyssoplift report burn --log HOST:PORT [flags]",
		ShortHelp:   "report how fast kinds and teams use up their error budgets",
		Subcommands: []*ffcli.Command{newReportBurn(stdout, stderr)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// objectiveFlag is the value of the repeatable flag --objective: the objectives by kind.
type objectiveFlag map[string]reporter.Objective

func (objectiveFlag objectiveFlag) String() string { return "" }

// Set adds an objective given as KIND=MS:PERCENT.
func (objectiveFlag objectiveFlag) Set(text string) error {
	kind, value, hasValue := strings.Cut(text, "=")
	milliseconds, percent, hasPercent := strings.Cut(value, ":")
	within, err := strconv.ParseInt(milliseconds, 10, 32)
	targetPercent, percentErr := strconv.ParseFloat(percent, 64)
	if kind == "" || !hasValue || !hasPercent || err != nil || percentErr != nil {
		return eris.Errorf("got %q, want KIND=MS:PERCENT, such as loop-check=500:99.9", text)
	}
	objective, err := reporter.NewObjective(time.Duration(within)*time.Millisecond, targetPercent)
	objectiveFlag[kind] = objective
	return err
}

func newReportBurn(stdout, stderr io.Writer) *ffcli.Command {
	set := flag.NewFlagSet("burn", flag.ContinueOnError)
	set.SetOutput(stderr)
	log := set.String("log", "", "address of the platform's log service, host:port")
	asJSON := set.Bool("json", false, "print JSON")
	asHTML := set.Bool("html", false, "print a self-contained HTML page")
	objectives := make(objectiveFlag)
	set.Var(objectives, "objective", "KIND=MS:PERCENT, for kinds whose records have no objective; may be repeated")
	return &ffcli.Command{
		Name:       "burn",
		ShortUsage: "hyssoplift report burn --log HOST:PORT [flags]",
		ShortHelp:  "print burn rates and verdicts per kind and team",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			if *log == "" || (*asJSON && *asHTML) {
				return eris.New("--log is required, and --json and --html are mutually exclusive")
			}
			reader := accountant.NewReader(appender.New(*log))
			for kind, objective := range objectives {
				reader.SetObjective(kind, objective)
			}
			report, err := reader.Report(ctx, time.Now())
			if err != nil {
				return err
			}
			switch {
			case *asJSON:
				return eris.Wrap(json.NewEncoder(stdout).Encode(report), "writing the report")
			case *asHTML:
				return report.WriteHTML(stdout)
			}
			return report.WriteText(stdout)
		},
	}
}
