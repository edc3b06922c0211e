package bundler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/placer"
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
	if bundle.part != "" {
		linter.checkPart()
		linter.checkVersion(inForce)
		return linter.sorted()
	}
	linter.checkDomains()
	linter.checkTargets()
	linter.checkKinds()
	linter.checkSizes()
	linter.checkLimits()
	linter.checkObjectives()
	linter.checkVersion(inForce)
	linter.checkRemoval(inForce)
	return linter.sorted()
}

// sorted returns the findings, errors first.
func (linter *linter) sorted() []Finding {
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

// checkTargets finds targets that no instance could use.
func (linter *linter) checkTargets() {
	for _, target := range linter.bundle.targets {
		domain, ok := linter.bundle.domains[target.failureDomain]
		if !ok {
			linter.fail("[target %s] failure-domain: %q has no section, but still has this target", target.name, target.failureDomain)
		}
		if domain.split && !linter.bundle.composed() {
			linter.fail("[target %s] failure-domain: %q is split, so its targets belong in its own part", target.name, target.failureDomain)
		}
	}
	linter.checkSlots()
}

func (linter *linter) checkSlots() {
	addresses := make(map[string]string, len(linter.bundle.targets))
	for _, target := range linter.bundle.targets {
		if target.slots == 0 {
			linter.fail("[target %s] slots: 0 would run nothing; remove the target instead", target.name)
		}
		if other, ok := addresses[target.address]; ok {
			linter.warn("[target %s] address: %s is also the address of target %s", target.name, target.address, other)
		}
		addresses[target.address] = target.name
	}
}

func (linter *linter) checkPart() {
	for _, target := range linter.bundle.targets {
		if target.failureDomain != linter.bundle.part {
			linter.fail("[target %s] failure-domain: got %q, but this is the part of %q", target.name, target.failureDomain, linter.bundle.part)
		}
	}
	linter.checkSlots()
}

// hidden reports whether the failure domain's targets are in a part that is not at hand.
func (linter *linter) hidden(domain FailureDomain) bool {
	return domain.split && !linter.bundle.composed()
}

func (linter *linter) someHidden() bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(linter.bundle.domains)), linter.hidden)
}

// checkKinds finds kinds without a target. Of split failure domains, only a composed bundle shows the targets.
func (linter *linter) checkKinds() {
	type place struct{ domain, service string }
	served := make(map[place]bool)
	services := make(map[string]bool)
	for _, target := range linter.bundle.targets {
		served[place{target.failureDomain, target.service}] = true
		if !linter.bundle.domains[target.failureDomain].leaving {
			services[target.service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(linter.bundle.kinds)) {
		service := linter.bundle.kinds[name].service
		if !services[service] {
			if !linter.someHidden() {
				linter.fail("[kind %s] service: %q has no target in a failure domain that stays", name, service)
			}
			continue
		}
		for _, domain := range linter.bundle.failureDomains {
			entry := linter.bundle.domains[domain]
			if !entry.leaving && !linter.hidden(entry) && !served[place{domain, service}] {
				linter.warn("[kind %s] service: %q has no target in failure domain %s; its jobs spill over", name, service, domain)
			}
		}
	}
}

// checkSizes finds kinds whose declared size no worker has: every job of such a kind would be refused.
func (linter *linter) checkSizes() {
	if linter.someHidden() {
		return
	}
	largest := make(map[string]placer.Resources)
	for _, target := range linter.bundle.targets {
		largest[target.service] = largest[target.service].Maximum(target.size)
	}
	for _, name := range slices.Sorted(maps.Keys(linter.bundle.kinds)) {
		kind := linter.bundle.kinds[name]
		known, ok := largest[kind.service]
		if !ok || linter.bundle.services[kind.service].protocol != ProtocolWorker {
			continue
		}
		switch {
		case kind.size == placer.Resources{}:
			linter.fail("[kind %s] milli-cores: a kind that runs on workers needs a size", name)
		case !kind.size.Fits(known):
			linter.fail("[kind %s]: its size is larger than any worker of service %q", name, kind.service)
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

func (linter *linter) checkVersion(inForce *Bundle) {
	if inForce != nil && linter.bundle.version <= inForce.version {
		linter.fail("[bundle] version: %d is not above %d, the version in force", linter.bundle.version, inForce.version)
	}
}

// checkRemoval finds failure domains that the bundle in force still gives new keys to.
func (linter *linter) checkRemoval(inForce *Bundle) {
	if inForce == nil {
		return
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
