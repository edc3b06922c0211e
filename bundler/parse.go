package bundler

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/dispatcher"
	"github.com/hyssoplift/hyssoplift/placer"
)

// Limits on values in a bundle. Lint applies narrower limits to values that parse but cannot work.
const (
	maxSlots        = 4096
	maxMilliCores   = 10_000_000
	maxMemoryMB     = 1 << 30
	maxAccelerators = 1024
	maxInFlight     = 1_000_000
	maxRunMS        = 600_000
	maxWeight       = 1_000_000
	// minRetentionSeconds results in 7.5 s between two renewals, which is enough for a slow log.
	minRetentionSeconds = 60
	maxRetentionSeconds = 30 * 24 * 3600
	// maxVersion is the largest integer up to which every JSON reader represents all integers exactly.
	maxVersion = 1 << 53
)

// Defaults of values that a bundle omits.
const (
	defaultRunMS      = 200
	defaultWeight     = 50
	defaultLogSeconds = 7 * 24 * 3600
)

// required is passed instead of a default to make a number mandatory.
const required = -1

// reader reads the values of one section and keeps the first error.
type reader struct {
	section *section
	// used is the number of keys that have been looked up.
	used int
	err  error
}

// fail records an error about key unless an earlier one is recorded.
func (reader *reader) fail(key, format string, args ...any) {
	if reader.err == nil {
		reader.err = eris.Errorf("line %d: %s %s: %s",
			reader.section.line, reader.section.title(), key, fmt.Sprintf(format, args...))
	}
}

func (reader *reader) lookup(key string) (string, bool) {
	i := slices.Index(reader.section.keys, key)
	if i < 0 {
		return "", false
	}
	reader.used++
	return reader.section.values[i], true
}

func (reader *reader) requiredText(key string) string {
	value, ok := reader.lookup(key)
	if !ok || value == "" {
		reader.fail(key, "is missing")
	}
	return value
}

func (reader *reader) number(key string, fallback, low, high int64) int64 {
	value, ok := reader.lookup(key)
	if !ok {
		if fallback == required {
			reader.fail(key, "is missing")
		}
		return fallback
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < low || number > high {
		reader.fail(key, "got %q, allowed are %d to %d", value, low, high)
	}
	return number
}

func (reader *reader) seconds(key string, fallback int64) time.Duration {
	return time.Duration(reader.number(key, fallback, minRetentionSeconds, maxRetentionSeconds)) * time.Second
}

func (reader *reader) percent(key string) float64 {
	value := reader.requiredText(key)
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= 0 && number <= 100) {
		reader.fail(key, "got %q, allowed are 0 to 100", value)
	}
	return number
}

func (reader *reader) choice(key, fallback string, allowed ...string) string {
	value, ok := reader.lookup(key)
	if !ok {
		if fallback == "" {
			reader.fail(key, "is missing")
		}
		return fallback
	}
	if !slices.Contains(allowed, value) {
		reader.fail(key, "got %q, allowed are %s", value, strings.Join(allowed, " and "))
	}
	return value
}

func (reader *reader) boolean(key, fallback string) bool {
	return reader.choice(key, fallback, "true", "false") == "true"
}

// finish returns the first error of the section after all keys have been looked up. A key that is not in known is an
// error.
func (reader *reader) finish(known ...string) error {
	if reader.err != nil || reader.used == len(reader.section.keys) {
		return reader.err
	}
	for _, key := range reader.section.keys {
		if !slices.Contains(known, key) {
			reader.fail(key, "is not a known key")
		}
	}
	return reader.err
}

// Parse parses a bundle. The error names the line, section, key and value that are invalid.
func Parse(text []byte) (*Bundle, error) { return parseText(string(text)) }

// parseText is like Parse. The names and addresses in the bundle share the memory of text.
func parseText(text string) (*Bundle, error) {
	parser := newParser()
	if err := scanSections(text, parser.add); err != nil {
		return nil, eris.Wrap(err, "reading the bundle")
	}
	return parser.finish()
}

// parser builds a bundle from its sections.
type parser struct {
	bundle *Bundle
	// seen holds the classes of the unnamed sections read so far, each of which may occur once.
	seen map[string]bool
}

func newParser() *parser {
	return &parser{seen: make(map[string]bool), bundle: &Bundle{
		domains:    make(map[string]FailureDomain),
		services:   make(map[string]Service),
		kinds:      make(map[string]Kind),
		teams:      make(map[string]Team),
		objectives: make(map[string]Objective),
		policy:     Policy{responseTimeWeight: defaultWeight, wastedMessageWeight: defaultWeight},
		retention:  Retention{log: defaultLogSeconds * time.Second},
	}}
}

func (parser *parser) add(section *section) error {
	reader := &reader{section: section}
	switch section.class {
	case "bundle", "policy", "retention":
		if section.name != "" || parser.seen[section.class] {
			return eris.Errorf("line %d: %s: allowed is one section without a name", section.line, section.title())
		}
		parser.seen[section.class] = true
		return parser.addUnnamed(reader)
	}
	if section.name == "" {
		return eris.Errorf("line %d: %s: a name is missing", section.line, section.title())
	}
	return parser.addNamed(reader, section.name)
}

func (parser *parser) addUnnamed(reader *reader) error {
	bundle := parser.bundle
	switch reader.section.class {
	case "bundle":
		bundle.version = reader.number("version", required, 1, maxVersion)
		bundle.part, _ = reader.lookup("part")
		return reader.finish("version", "part")
	case "policy":
		bundle.policy.responseTimeWeight = int(reader.number("response-time-weight", defaultWeight, 0, maxWeight))
		bundle.policy.wastedMessageWeight = int(reader.number("wasted-message-weight", defaultWeight, 0, maxWeight))
		return reader.finish("response-time-weight", "wasted-message-weight")
	default:
		bundle.retention.log = reader.seconds("log-seconds", defaultLogSeconds)
		return reader.finish("log-seconds")
	}
}

func (parser *parser) addNamed(reader *reader, name string) error {
	bundle := parser.bundle
	switch reader.section.class {
	case "failure-domain":
		bundle.failureDomains = append(bundle.failureDomains, name)
		domain := FailureDomain{name: name, leaving: reader.boolean("leaving", "false"), split: reader.boolean("split", "false")}
		setOnce(reader, bundle.domains, name, domain)
		return reader.finish("leaving", "split")
	case "service":
		protocol := reader.choice("protocol", string(ProtocolRunner), string(ProtocolRunner), string(ProtocolWorker))
		setOnce(reader, bundle.services, name, Service{name: name, protocol: Protocol(protocol)})
		return reader.finish("protocol")
	case "target":
		bundle.targets = append(bundle.targets, readTarget(reader, name))
		return reader.finish("failure-domain", "service", "address", "slots", "rack", "milli-cores", "memory-mb", "accelerators")
	case "kind":
		setOnce(reader, bundle.kinds, name, readKind(reader, name))
		return reader.finish("service", "repeatable", "max-tasks", "max-in-flight", "run-ms", "milli-cores", "memory-mb", "accelerators")
	case "team":
		setOnce(reader, bundle.teams, name, Team{name: name, maxInFlight: int(reader.number("max-in-flight", required, 0, maxInFlight))})
		return reader.finish("max-in-flight")
	case "objective":
		within := time.Duration(reader.number("within-ms", required, 0, maxRunMS)) * time.Millisecond
		setOnce(reader, bundle.objectives, name, Objective{kind: name, within: within, targetPercent: reader.percent("target-percent")})
		return reader.finish("within-ms", "target-percent")
	}
	return eris.Errorf("line %d: %s: is not a known section", reader.section.line, reader.section.title())
}

// setOnce stores value under name. A name may not repeat, because an operator could not see which section applies.
func setOnce[V any](reader *reader, values map[string]V, name string, value V) {
	if _, ok := values[name]; ok {
		reader.fail("section", "is given twice")
	}
	values[name] = value
}

func readTarget(reader *reader, name string) Target {
	target := Target{
		name:          name,
		failureDomain: reader.requiredText("failure-domain"),
		service:       reader.requiredText("service"),
		address:       reader.requiredText("address"),
		slots:         int(reader.number("slots", required, 0, maxSlots)),
	}
	target.rack, _ = reader.lookup("rack")
	target.resources = readResources(reader)
	if _, _, err := net.SplitHostPort(target.address); err != nil {
		reader.fail("address", "got %q, expected host:port", target.address)
	}
	return target
}

// readResources returns the resources of a worker or of a task on a worker; runners have none.
func readResources(reader *reader) placer.Resources {
	return placer.Resources{
		MilliCores:   reader.number("milli-cores", 0, 0, maxMilliCores),
		MemoryMB:     reader.number("memory-mb", 0, 0, maxMemoryMB),
		Accelerators: reader.number("accelerators", 0, 0, maxAccelerators),
	}
}

func readKind(reader *reader, name string) Kind {
	return Kind{
		name:        name,
		service:     reader.requiredText("service"),
		repeatable:  reader.boolean("repeatable", ""),
		maxTasks:    int(reader.number("max-tasks", dispatcher.MaxTasks, 0, dispatcher.MaxTasks)),
		maxInFlight: int(reader.number("max-in-flight", maxInFlight, 0, maxInFlight)),
		runTime:     time.Duration(reader.number("run-ms", defaultRunMS, 1, maxRunMS)) * time.Millisecond,
		resources:   readResources(reader),
	}
}

func (parser *parser) checkPart() error {
	bundle := parser.bundle
	if bundle.part == "" {
		if len(bundle.failureDomains) == 0 {
			return eris.New("the bundle has no [failure-domain NAME] section")
		}
		return nil
	}
	if len(bundle.domains)+len(bundle.services)+len(bundle.kinds)+len(bundle.teams)+len(bundle.objectives) > 0 || parser.seen["policy"] {
		return eris.Errorf("the part of failure domain %s may hold only [bundle], [retention] and [target NAME] sections", bundle.part)
	}
	return nil
}

// finish completes the bundle after the last section.
func (parser *parser) finish() (*Bundle, error) {
	bundle := parser.bundle
	if bundle.version == 0 {
		return nil, eris.New("[bundle] version: is missing")
	}
	if err := parser.checkPart(); err != nil {
		return nil, err
	}
	slices.Sort(bundle.failureDomains)
	slices.SortFunc(bundle.targets, func(a, b Target) int { return strings.Compare(a.name, b.name) })
	bundle.targets = slices.Clip(bundle.targets)
	for i := 1; i < len(bundle.targets); i++ {
		if name := bundle.targets[i].name; name == bundle.targets[i-1].name {
			return nil, eris.Errorf("[target %s]: is given twice", name)
		}
	}
	for _, target := range bundle.targets {
		if _, ok := bundle.services[target.service]; !ok {
			bundle.services[target.service] = Service{name: target.service, protocol: ProtocolRunner}
		}
	}
	return bundle, nil
}
