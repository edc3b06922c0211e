package bundler

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/hyssoplift/hyssoplift/dispatcher"
)

// Bounds of bundle values.
const (
	maxSlots    = 4096
	maxInFlight = 1_000_000
	maxRunMS    = 600_000
)

// reader collects the first fault of one section.
type reader struct {
	section *ini.Section
	used    map[string]bool
	err     error
}

func (reader *reader) fail(key, format string, args ...any) {
	if reader.err == nil {
		reader.err = eris.Errorf("[%s] %s: %s", reader.section.Name(), key, fmt.Sprintf(format, args...))
	}
}

func (reader *reader) text(key string) string {
	reader.used[key] = true
	if !reader.section.HasKey(key) {
		reader.fail(key, "is missing")
		return ""
	}
	return strings.TrimSpace(reader.section.Key(key).String())
}

func (reader *reader) number(key string, fallback, low, high int64) int64 {
	reader.used[key] = true
	if !reader.section.HasKey(key) {
		if fallback < low {
			reader.fail(key, "is missing")
		}
		return fallback
	}
	value := reader.section.Key(key).String()
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < low || number > high {
		reader.fail(key, "got %q, allowed are %d to %d", value, low, high)
	}
	return number
}

func (reader *reader) boolean(key string) bool {
	value := reader.text(key)
	if value != "true" && value != "false" {
		reader.fail(key, "got %q, allowed are true and false", value)
	}
	return value == "true"
}

func (reader *reader) close() error {
	for _, key := range reader.section.KeyStrings() {
		if !reader.used[key] {
			reader.fail(key, "is not a known key")
		}
	}
	return reader.err
}

// Parse returns the bundle in text, or an error that names the section, key and value at fault.
func Parse(text []byte) (*Bundle, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return nil, eris.Wrap(err, "reading the bundle")
	}
	bundle := &Bundle{kinds: make(map[string]Kind), teams: make(map[string]Team)}
	for _, section := range file.Sections() {
		if err := bundle.add(section); err != nil {
			return nil, err
		}
	}
	slices.Sort(bundle.failureDomains)
	slices.SortFunc(bundle.targets, func(a, b Target) int { return strings.Compare(a.name, b.name) })
	if err := bundle.check(); err != nil {
		return nil, err
	}
	return bundle, nil
}

func (bundle *Bundle) add(section *ini.Section) error {
	reader := &reader{section: section, used: make(map[string]bool)}
	class, name, _ := strings.Cut(section.Name(), " ")
	if class != ini.DefaultSection && class != "bundle" && name == "" {
		return eris.Errorf("[%s]: a name is missing after %q", section.Name(), class)
	}
	switch class {
	case ini.DefaultSection:
	case "bundle":
		bundle.version = reader.number("version", 0, 1, 1<<53)
	case "failure-domain":
		bundle.failureDomains = append(bundle.failureDomains, name)
	case "target":
		bundle.targets = append(bundle.targets, readTarget(reader, name))
	case "kind":
		bundle.kinds[name] = readKind(reader, name)
	case "team":
		bundle.teams[name] = Team{name: name, maxInFlight: int(reader.number("max-in-flight", 0, 1, maxInFlight))}
	default:
		return eris.Errorf("[%s]: is not a known section", section.Name())
	}
	return reader.close()
}

func readTarget(reader *reader, name string) Target {
	target := Target{
		name:          name,
		failureDomain: reader.text("failure-domain"),
		service:       reader.text("service"),
		address:       reader.text("address"),
		slots:         int(reader.number("slots", 0, 1, maxSlots)),
	}
	if _, _, err := net.SplitHostPort(target.address); err != nil {
		reader.fail("address", "got %q, expected host:port", target.address)
	}
	return target
}

func readKind(reader *reader, name string) Kind {
	return Kind{
		name:        name,
		service:     reader.text("service"),
		repeatable:  reader.boolean("repeatable"),
		maxTasks:    int(reader.number("max-tasks", dispatcher.MaxTasks, 1, dispatcher.MaxTasks)),
		maxInFlight: int(reader.number("max-in-flight", maxInFlight, 1, maxInFlight)),
		runTime:     time.Duration(reader.number("run-ms", 200, 1, maxRunMS)) * time.Millisecond,
	}
}

// check finds bundles that parse but cannot be served.
func (bundle *Bundle) check() error {
	if bundle.version == 0 {
		return eris.New("[bundle] version: is missing")
	}
	if len(bundle.failureDomains) == 0 {
		return eris.New("the bundle has no [failure-domain ...] section")
	}
	services := make(map[string]bool)
	for _, target := range bundle.targets {
		if _, ok := slices.BinarySearch(bundle.failureDomains, target.failureDomain); !ok {
			return eris.Errorf("[target %s] failure-domain: %q has no section", target.name, target.failureDomain)
		}
		services[target.service] = true
	}
	for name, kind := range bundle.kinds {
		if !services[kind.service] {
			return eris.Errorf("[kind %s] service: %q has no target", name, kind.service)
		}
	}
	return nil
}
