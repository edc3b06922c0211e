package configurer

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/hyssoplift/hyssoplift/bundler"
)

const envPrefix = "HYSSOPLIFT"

// Settings holds the validated values of all settings.
type Settings struct{ values map[string]string }

// Text returns the value of a setting with the unit text, keys or address. Like the other accessors, it panics if Table
// does not have a setting of this name.
func (settings Settings) Text(name string) string { return settings.value(name) }

// Count returns the value of a setting with the unit count or milliseconds.
func (settings Settings) Count(name string) int64 {
	number, err := strconv.ParseInt(settings.value(name), 10, 64)
	if err != nil {
		panic(eris.Wrapf(err, "setting %s is not a number", name))
	}
	return number
}

// Deadline returns now plus the value of a millisecond setting.
func (settings Settings) Deadline(name string, now time.Time) time.Time {
	return now.Add(time.Duration(settings.Count(name)) * time.Millisecond)
}

func (settings Settings) value(name string) string {
	value, ok := settings.values[name]
	if !ok {
		panic(eris.Errorf("setting %s is not in the table", name))
	}
	return value
}

// flagValue is a flag.Value that validates a setting when it is set.
type flagValue struct {
	setting Setting
	text    string
}

func (flagValue *flagValue) String() string { return flagValue.text }

func (flagValue *flagValue) Set(text string) error {
	if err := flagValue.setting.check(text); err != nil {
		return err
	}
	flagValue.text = text
	return nil
}

func (setting Setting) check(text string) error {
	switch setting.unit {
	case UnitText:
		if text == "" || strings.ContainsAny(text, " \t\r\n") {
			return eris.Errorf("%s: got %q, want text without spaces", setting.name, text)
		}
	case UnitKeys:
		if _, err := bundler.ParseKeys(text); err != nil {
			return eris.Wrap(err, setting.name)
		}
	case UnitAddress:
		host, port, err := net.SplitHostPort(text)
		number, portErr := strconv.ParseUint(port, 10, 16)
		if err != nil || portErr != nil || net.ParseIP(host) == nil {
			return eris.Errorf("%s: got %q, want an IP address and a port such as 127.0.0.1:%d", setting.name, text, max(number, 8480))
		}
	case UnitCount, UnitMilliseconds:
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil || number < setting.minimum || number > setting.maximum {
			return eris.Errorf("%s: got %q, want %d to %d %s", setting.name, text, setting.minimum, setting.maximum, setting.unit)
		}
	}
	return nil
}

// Read returns the settings from args, the environment and the INI file named by --config. Its error is a single line;
// for an invalid value, it names the source, the setting, the value and the allowed values. If args ask for help, Read
// writes the usage text and returns flag.ErrHelp.
func Read(args []string, usage io.Writer) (Settings, error) {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	configPath := flags.String("config", "", "INI file with settings")
	values := make([]*flagValue, 0, len(Table()))
	for _, setting := range Table() {
		flagValue := &flagValue{setting: setting, text: setting.defaultValue}
		values = append(values, flagValue)
		flags.Var(flagValue, setting.name, setting.description)
	}
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(envPrefix), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(parseINI))
	if errors.Is(err, flag.ErrHelp) {
		writeUsage(usage)
		return Settings{}, err
	}
	if err != nil {
		return Settings{}, newReadError(err, *configPath)
	}
	settings := Settings{values: make(map[string]string, len(values))}
	for _, flagValue := range values {
		if flagValue.setting.required && flagValue.text == "" {
			return Settings{}, eris.Errorf("setting %s is missing: set --%s, %s or a line in the INI file",
				flagValue.setting.name, flagValue.setting.name, envName(flagValue.setting.name))
		}
		settings.values[flagValue.setting.name] = flagValue.text
	}
	return settings, nil
}

func envName(name string) string {
	return envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func newReadError(err error, configPath string) error {
	if configPath == "" {
		return eris.Errorf("reading settings: %v", err)
	}
	return eris.Errorf("reading settings (file %s): %v", configPath, err)
}

func parseINI(source io.Reader, set func(name, value string) error) error {
	text, err := io.ReadAll(source)
	if err != nil {
		return eris.Wrap(err, "reading the INI file")
	}
	file, err := ini.Load(text)
	if err != nil {
		return eris.Wrap(err, "parsing the INI file")
	}
	for _, section := range file.Sections() {
		if section.Name() != ini.DefaultSection && section.Name() != "hyssoplift" {
			return eris.Errorf("unknown section [%s], want [hyssoplift]", section.Name())
		}
		for _, key := range section.Keys() {
			if err := set(key.Name(), key.Value()); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeUsage(writer io.Writer) {
	fmt.Fprintln(writer, "Settings (flag, environment variable or INI file, in this order of precedence):")
	for _, setting := range Table() {
		fmt.Fprintf(writer, "  --%-18s %s  [%s, default %q, %s]\n", setting.name, setting.description, setting.unit, setting.defaultValue, envName(setting.name))
	}
}
