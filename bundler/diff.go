package bundler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hyssoplift/hyssoplift/placer"
)

// field is one value of a section as printed for an operator.
type field struct{ name, value string }

// Diff returns the changes from before to after, one per line, ordered by section. A nil before is treated as an empty
// bundle.
func Diff(before, after *Bundle) []string {
	if before == nil {
		before = newParser().bundle
	}
	var lines []string
	if before.version != after.version {
		lines = append(lines, fmt.Sprintf("version: from %d to %d", before.version, after.version))
	}
	lines = append(lines, changedLines("policy", before.policy.fields(), after.policy.fields())...)
	lines = append(lines, changedLines("retention", before.retention.fields(), after.retention.fields())...)
	lines = append(lines, diffMaps("failure domain", before.domains, after.domains)...)
	lines = append(lines, diffMaps("service", before.services, after.services)...)
	lines = append(lines, diffMaps("kind", before.kinds, after.kinds)...)
	lines = append(lines, diffMaps("objective", before.objectives, after.objectives)...)
	lines = append(lines, diffMaps("team", before.teams, after.teams)...)
	return append(lines, diffTargets(before.targets, after.targets)...)
}

type diffable interface {
	comparable
	fields() []field
}

func diffMaps[V diffable](class string, before, after map[string]V) []string {
	var lines []string
	names := maps.Clone(after)
	maps.Copy(names, before)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, hadOld := before[name]
		current, hasNew := after[name]
		switch {
		case !hadOld:
			lines = append(lines, addedLine(class, name, current.fields()))
		case !hasNew:
			lines = append(lines, class+" "+name+" removed")
		case old != current:
			lines = append(lines, changedLines(class+" "+name, old.fields(), current.fields())...)
		}
	}
	return lines
}

// diffTargets compares two sorted lists in one pass, so that unchanged targets cause no allocation.
func diffTargets(before, after []Target) []string {
	var lines []string
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].name < after[0].name:
			lines = append(lines, "target "+before[0].name+" removed from "+before[0].failureDomain)
			before = before[1:]
		case len(before) == 0 || after[0].name < before[0].name:
			lines = append(lines, addedLine("target", after[0].name, after[0].fields()))
			after = after[1:]
		default:
			if before[0] != after[0] {
				lines = append(lines, changedLines("target "+after[0].name, before[0].fields(), after[0].fields())...)
			}
			before, after = before[1:], after[1:]
		}
	}
	return lines
}

func addedLine(class, name string, fields []field) string {
	var parts []string
	for _, field := range fields {
		// Runners have no rack and no resources.
		if field.value != "" && field.value != "0" {
			parts = append(parts, field.name+" "+field.value)
		}
	}
	return class + " " + name + " added (" + strings.Join(parts, ", ") + ")"
}

func changedLines(title string, before, after []field) []string {
	var lines []string
	for i, field := range after {
		if before[i] != field {
			lines = append(lines, fmt.Sprintf("%s: %s from %s to %s", title, field.name, before[i].value, field.value))
		}
	}
	return lines
}

func numberField(name string, value int) field { return field{name, fmt.Sprint(value)} }

func (policy Policy) fields() []field {
	return []field{numberField("response-time-weight", policy.responseTimeWeight), numberField("wasted-message-weight", policy.wastedMessageWeight)}
}

func (retention Retention) fields() []field {
	return []field{numberField("log-seconds", int(retention.log.Seconds()))}
}

func (domain FailureDomain) fields() []field {
	return []field{{"leaving", fmt.Sprint(domain.leaving)}, {"split", fmt.Sprint(domain.split)}}
}

func (service Service) fields() []field { return []field{{"protocol", string(service.protocol)}} }

func (team Team) fields() []field { return []field{numberField("max-in-flight", team.maxInFlight)} }

func (objective Objective) fields() []field {
	return []field{
		numberField("within-ms", int(objective.within.Milliseconds())),
		{"target-percent", fmt.Sprint(objective.targetPercent)},
	}
}

func (kind Kind) fields() []field {
	return append([]field{
		{"service", kind.service},
		{"repeatable", fmt.Sprint(kind.repeatable)},
		numberField("max-tasks", kind.maxTasks),
		numberField("max-in-flight", kind.maxInFlight),
		numberField("run-ms", int(kind.runTime.Milliseconds())),
	}, resourceFields(kind.resources)...)
}

func (target Target) fields() []field {
	return append([]field{
		{"failure-domain", target.failureDomain},
		{"service", target.service},
		{"address", target.address},
		numberField("slots", target.slots),
		{"rack", target.rack},
	}, resourceFields(target.resources)...)
}

func resourceFields(resources placer.Resources) []field {
	return []field{
		numberField("milli-cores", int(resources.MilliCores)), numberField("memory-mb", int(resources.MemoryMB)), numberField("accelerators", int(resources.Accelerators)),
	}
}
