package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/configurer"
	"github.com/hyssoplift/hyssoplift/platform"
)

// newSettings returns the subcommand that checks settings files.
func newSettings(stdout, stderr io.Writer) *ffcli.Command {
	check := &ffcli.Command{
		Name:       "check",
		ShortUsage: "hyssoplift settings check FILE",
		ShortHelp:  "check a settings file of the platform (.toml) or of hyssoplift (.ini) without starting an instance",
		FlagSet:    flag.NewFlagSet("hyssoplift settings check", flag.ContinueOnError),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return eris.New("expected the path of one settings file")
			}
			return checkSettings(args[0], stdout, stderr)
		},
	}
	return &ffcli.Command{
		Name:        "settings",
		ShortUsage:  "hyssoplift settings <subcommand>",
		ShortHelp:   "check settings files",
		FlagSet:     flag.NewFlagSet("hyssoplift settings", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{check},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// checkSettings validates the settings file at path; its extension determines the format.
func checkSettings(path string, stdout, stderr io.Writer) error {
	var err error
	switch filepath.Ext(path) {
	case ".toml":
		_, err = platform.ReadSettings(path)
	case ".ini":
		_, err = configurer.Read([]string{"--config", path}, stderr)
	default:
		return eris.Errorf("%s is neither a .toml file of the platform nor an .ini file of hyssoplift", path)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "%s can be used\n", path)
	return err
}
