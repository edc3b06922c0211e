package bundler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// maxLintWeight is the largest policy weight, a percentage.
const maxLintWeight = 100

// Severity says whether a finding keeps a bundle from being in force.
type Severity string

// Severities of a finding.
const (
	// SeverityError marks a bundle that would break; no instance takes it. Every reader applies the same errors to the
	// same chain of records, so a release that adds or drops one must reach all instances before a bundle relies on it.
	SeverityError Severity = "error"
	// SeverityWarning marks something that is probably a mistake.
	SeverityWarning Severity = "warning"
)

// Finding is one thing that lint found.
type Finding struct {
	severity Severity
	text     string
}

// Severity returns whether the finding keeps the bundle from being in force.
func (finding Finding) Severity() Severity { return finding.severity }

// String returns the finding as one line for an operator.
func (finding Finding) String() string { return string(finding.severity) + ": " + finding.text }

// linter collects the findings of one bundle.
type linter struct {
	bundle   *Bundle
	findings []Finding
}

func (linter *linter) fail(format string, args ...any) {
	linter.findings = append(linter.findings, Finding{severity: SeverityError, text: fmt.Sprintf(format, args...)})
}

func (linter *linter) warn(format string, args ...any) {
	linter.findings = append(linter.findings, Finding{severity: SeverityWarning, text: fmt.Sprintf(format, args...)})
}

// Lint returns what would break or is doubtful if bundle replaced inForce, which may be nil; errors come first.
func Lint(bundle, inForce *Bundle) []Finding {
	linter := &linter{bundle: bundle}
	linter.checkDomains()
	linter.checkTargets()
	linter.checkLimits()
	linter.checkObjectives()
	if inForce != nil {
		linter.checkSuccession(inForce)
	}
	slices.SortStableFunc(linter.findings, func(a, b Finding) int { return cmp.Compare(a.severity, b.severity) })
	return linter.findings
}

func (linter *linter) checkDomains() {
	for _, domain := range linter.bundle.domains {
		if !domain.leaving {
			return
		}
	}
	linter.fail("every failure domain is leaving: no new key would have a home")
}

// checkTargets finds kinds without a target and targets in failure domains that have no section.
func (linter *linter) checkTargets() {
	type place struct{ domain, service string }
	served := make(map[place]bool)
	services := make(map[string]bool)
	addresses := make(map[string]string, len(linter.bundle.targets))
	for _, target := range linter.bundle.targets {
		domain, ok := linter.bundle.domains[target.failureDomain]
		if !ok {
			linter.fail("[target %s] failure-domain: %q has no section, but still has this target", target.name, target.failureDomain)
		}
		if target.slots == 0 {
			linter.fail("[target %s] slots: 0 would run nothing; remove the target instead", target.name)
		}
		if other, ok := addresses[target.address]; ok {
			linter.warn("[target %s] address: %s is also the address of target %s", target.name, target.address, other)
		}
		addresses[target.address] = target.name
		served[place{target.failureDomain, target.service}] = true
		if !domain.leaving {
			services[target.service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(linter.bundle.kinds)) {
		service := linter.bundle.kinds[name].service
		if !services[service] {
			linter.fail("[kind %s] service: %q has no target in a failure domain that stays", name, service)
			continue
		}
		for _, domain := range linter.bundle.failureDomains {
			if !linter.bundle.domains[domain].leaving && !served[place{domain, service}] {
				linter.warn("[kind %s] service: %q has no target in failure domain %s; its jobs spill over", name, service, domain)
			}
		}
	}
}

func (linter *linter) checkLimits() {
	for _, name := range slices.Sorted(maps.Keys(linter.bundle.kinds)) {
		kind := linter.bundle.kinds[name]
		if kind.maxTasks == 0 {
			linter.fail("[kind %s] max-tasks: 0 would refuse every job; remove the kind instead", name)
		}
		if kind.maxInFlight == 0 {
			linter.fail("[kind %s] max-in-flight: 0 would refuse every job; remove the kind instead", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(linter.bundle.teams)) {
		if linter.bundle.teams[name].maxInFlight == 0 {
			linter.fail("[team %s] max-in-flight: 0 would refuse every job; remove the team instead", name)
		}
	}
	response, wasted := linter.bundle.policy.responseTimeWeight, linter.bundle.policy.wastedMessageWeight
	if response > maxLintWeight {
		linter.fail("[policy] response-time-weight: %d is out of range, allowed are 0 to %d", response, maxLintWeight)
	}
	if wasted > maxLintWeight {
		linter.fail("[policy] wasted-message-weight: %d is out of range, allowed are 0 to %d", wasted, maxLintWeight)
	}
	if response == 0 && wasted == 0 {
		linter.fail("[policy]: both weights are 0, so no choice of target is better than another")
	}
}

func (linter *linter) checkObjectives() {
	for _, name := range slices.Sorted(maps.Keys(linter.bundle.objectives)) {
		objective := linter.bundle.objectives[name]
		kind, ok := linter.bundle.kinds[name]
		switch {
		case !ok:
			linter.fail("[objective %s]: there is no kind of this name", name)
		case objective.targetPercent <= 0 || objective.targetPercent >= 100:
			linter.fail("[objective %s] target-percent: %g leaves no error budget to measure, allowed is above 0 and below 100", name, objective.targetPercent)
		case objective.within == 0:
			linter.fail("[objective %s] within-ms: 0 cannot be met", name)
		case objective.within < kind.runTime:
			linter.warn("[objective %s] within-ms: is below the kind's run-ms", name)
		}
	}
}

// checkSuccession finds what breaks only because of the bundle in force before.
func (linter *linter) checkSuccession(inForce *Bundle) {
	if linter.bundle.version <= inForce.version {
		linter.fail("[bundle] version: %d is not above %d, the version in force", linter.bundle.version, inForce.version)
	}
	for _, name := range inForce.failureDomains {
		if _, ok := linter.bundle.domains[name]; !ok && !inForce.domains[name].leaving {
			linter.fail("failure domain %s is removed but may still hold keys: first publish a bundle with leaving = true in [failure-domain %s]", name, name)
		}
	}
}

// lintError returns an error that names everything that keeps bundle from replacing inForce.
func lintError(bundle, inForce *Bundle) error {
	var faults []string
	for _, finding := range Lint(bundle, inForce) {
		if finding.severity == SeverityError {
			faults = append(faults, finding.text)
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return eris.Errorf("the bundle would break: %s", strings.Join(faults, "; "))
}
