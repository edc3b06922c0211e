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

// Settings are checked values of the table of settings.
type Settings struct{ values map[string]string }

// Text returns the value of a text, keys or address setting.
func (settings Settings) Text(name string) string { return settings.value(name) }

// Count returns the value of a count setting.
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

// value checks a setting when it is set; it implements flag.Value.
type value struct {
	setting Setting
	text    string
}

func (value *value) String() string { return value.text }

func (value *value) Set(text string) error {
	if err := value.setting.check(text); err != nil {
		return err
	}
	value.text = text
	return nil
}

func (setting Setting) check(text string) error {
	switch setting.unit {
	case UnitText:
		if text == "" || strings.ContainsAny(text, " \t\r\n") {
			return eris.Errorf("%s: got %q, allowed is text without spaces", setting.name, text)
		}
	case UnitKeys:
		if _, err := bundler.ParseKeys(text); err != nil {
			return eris.Wrap(err, setting.name)
		}
	case UnitAddress:
		host, port, err := net.SplitHostPort(text)
		number, portErr := strconv.ParseUint(port, 10, 16)
		if err != nil || portErr != nil || net.ParseIP(host) == nil {
			return eris.Errorf("%s: got %q, allowed is an IP number and a port such as 127.0.0.1:%d", setting.name, text, max(number, 8480))
		}
	case UnitCount, UnitMilliseconds:
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil || number < setting.low || number > setting.high {
			return eris.Errorf("%s: got %q, allowed are %d to %d %s", setting.name, text, setting.low, setting.high, setting.unit)
		}
	}
	return nil
}

// Read returns the settings from args, the environment and the INI file named by --config; the
// error is one line that names the source, the setting, its value and what is allowed.
func Read(args []string, usage io.Writer) (Settings, error) {
	set := flag.NewFlagSet("serve", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	config := set.String("config", "", "INI file with settings")
	values := make([]*value, 0, len(Table()))
	for _, setting := range Table() {
		value := &value{setting: setting, text: setting.fallback}
		values = append(values, value)
		set.Var(value, setting.name, setting.text)
	}
	err := ff.Parse(set, args, ff.WithEnvVarPrefix(envPrefix), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(parseINI))
	if errors.Is(err, flag.ErrHelp) {
		writeUsage(usage)
		return Settings{}, err
	}
	if err != nil {
		return Settings{}, describe(err, *config)
	}
	settings := Settings{values: make(map[string]string, len(values))}
	for _, value := range values {
		if value.setting.required && value.text == "" {
			return Settings{}, eris.Errorf("setting %s is missing: give --%s, %s or a line in the INI file",
				value.setting.name, value.setting.name, envName(value.setting.name))
		}
		settings.values[value.setting.name] = value.text
	}
	return settings, nil
}

func envName(name string) string {
	return envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func describe(err error, config string) error {
	if config == "" {
		return eris.Errorf("reading settings: %v", err)
	}
	return eris.Errorf("reading settings (file %s): %v", config, err)
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
			return eris.Errorf("section [%s] is unknown, allowed is [hyssoplift]", section.Name())
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
	fmt.Fprintln(writer, "Settings (flag, environment or INI file, in this order):")
	for _, setting := range Table() {
		fmt.Fprintf(writer, "  --%-18s %s  [%s, default %q, %s]\n", setting.name, setting.text, setting.unit, setting.fallback, envName(setting.name))
	}
}
