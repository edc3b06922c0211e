package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Version is the release version that "hyssoplift version" prints.
const Version = "0.1.0"

// Run executes the subcommand that args name. The text of its error is a single line.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) error {
	// serve parses its own flags: package configurer checks them against its table of settings.
	if len(args) > 0 && args[0] == "serve" {
		return serve(ctx, args[1:], stderr)
	}
	root := &ffcli.Command{
		ShortUsage: "hyssoplift <subcommand> [flags]",
		FlagSet:    flag.NewFlagSet("hyssoplift", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			newServe(),
			newPlatform(stdout),
			newSettings(stdout, stderr),
			newExplain(stdin, stdout),
			newSubmit(stdin, stdout, stderr),
			newBundle(stdout, stderr),
			newQuickstart(stdout),
			newReport(stdout, stderr),
			{
				Name:      "version",
				ShortHelp: "print the version",
				Exec: func(context.Context, []string) error {
					_, err := fmt.Fprintln(stdout, "hyssoplift", Version)
					return err
				},
			},
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	root.FlagSet.SetOutput(stderr)
	err := root.ParseAndRun(ctx, args)
	if errors.Is(err, flag.ErrHelp) {
		return nil
	}
	return err
}
