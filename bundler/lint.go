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

// maxPolicyWeight is the largest weight in a policy, in percent.
const maxPolicyWeight = 100

// Severity states whether a finding keeps a bundle from coming into force.
type Severity string

// The severities of a finding.
const (
	// SeverityError marks a bundle that would not work; no instance puts it in force. All readers must apply the same
	// errors to the same records, so a release that adds or removes one must run on all instances before a bundle
	// relies on it.
	SeverityError Severity = "error"
	// SeverityWarning marks something that is probably a mistake.
	SeverityWarning Severity = "warning"
)

// Finding is an error or a warning about a bundle.
type Finding struct {
	severity Severity
	text     string
}

// Severity states whether the finding keeps the bundle from coming into force.
func (finding Finding) Severity() Severity { return finding.severity }

// String returns the finding as one line for an operator.
func (finding Finding) String() string { return string(finding.severity) + ": " + finding.text }

// linter collects the findings on one bundle.
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

// Lint returns the findings on bundle as a replacement of inForce, which may be nil. Errors come first.
func Lint(bundle, inForce *Bundle) []Finding {
	linter := &linter{bundle: bundle}
	if bundle.part != "" {
		linter.checkPart()
		linter.checkVersion(inForce)
		return linter.sortedFindings()
	}
	linter.checkDomains()
	linter.checkTargets()
	linter.checkKinds()
	linter.checkResources()
	linter.checkLimits()
	linter.checkObjectives()
	linter.checkVersion(inForce)
	linter.checkRemovedDomains(inForce)
	return linter.sortedFindings()
}

// sortedFindings returns the findings, errors first.
func (linter *linter) sortedFindings() []Finding {
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

// checkTargets reports targets that no instance could use.
func (linter *linter) checkTargets() {
	for _, target := range linter.bundle.targets {
		domain, ok := linter.bundle.domains[target.failureDomain]
		if !ok {
			linter.fail("[target %s] failure-domain: %q has no section, but still has this target", target.name, target.failureDomain)
		}
		if domain.split && !linter.bundle.isComposed() {
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

// targetsUnknown reports whether the failure domain's targets are in a part that has not been added to the bundle.
func (linter *linter) targetsUnknown(domain FailureDomain) bool {
	return domain.split && !linter.bundle.isComposed()
}

func (linter *linter) anyTargetsUnknown() bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(linter.bundle.domains)), linter.targetsUnknown)
}

// checkKinds reports kinds without a target. It skips split failure domains unless the bundle is composed, because only
// then are their targets known.
func (linter *linter) checkKinds() {
	type domainService struct{ domain, service string }
	served := make(map[domainService]bool)
	services := make(map[string]bool)
	for _, target := range linter.bundle.targets {
		served[domainService{target.failureDomain, target.service}] = true
		if !linter.bundle.domains[target.failureDomain].leaving {
			services[target.service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(linter.bundle.kinds)) {
		service := linter.bundle.kinds[name].service
		if !services[service] {
			if !linter.anyTargetsUnknown() {
				linter.fail("[kind %s] service: %q has no target in a failure domain that stays", name, service)
			}
			continue
		}
		for _, domain := range linter.bundle.failureDomains {
			entry := linter.bundle.domains[domain]
			if !entry.leaving && !linter.targetsUnknown(entry) && !served[domainService{domain, service}] {
				linter.warn("[kind %s] service: %q has no target in failure domain %s; its jobs spill over", name, service, domain)
			}
		}
	}
}

// checkResources reports kinds whose declared resources exceed those of every worker: all jobs of such a kind would be
// refused.
func (linter *linter) checkResources() {
	if linter.anyTargetsUnknown() {
		return
	}
	largest := make(map[string]placer.Resources)
	for _, target := range linter.bundle.targets {
		largest[target.service] = largest[target.service].Maximum(target.resources)
	}
	for _, name := range slices.Sorted(maps.Keys(linter.bundle.kinds)) {
		kind := linter.bundle.kinds[name]
		limit, ok := largest[kind.service]
		if !ok || linter.bundle.services[kind.service].protocol != ProtocolWorker {
			continue
		}
		switch {
		case kind.resources == placer.Resources{}:
			linter.fail("[kind %s] milli-cores: a kind that runs on workers needs a size", name)
		case !kind.resources.Fits(limit):
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
	if response > maxPolicyWeight {
		linter.fail("[policy] response-time-weight: %d is out of range, allowed are 0 to %d", response, maxPolicyWeight)
	}
	if wasted > maxPolicyWeight {
		linter.fail("[policy] wasted-message-weight: %d is out of range, allowed are 0 to %d", wasted, maxPolicyWeight)
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

// checkRemovedDomains reports removed failure domains that get new keys under the bundle in force.
func (linter *linter) checkRemovedDomains(inForce *Bundle) {
	if inForce == nil {
		return
	}
	for _, name := range inForce.failureDomains {
		if _, ok := linter.bundle.domains[name]; !ok && !inForce.domains[name].leaving {
			linter.fail("failure domain %s is removed but may still hold keys: first publish a bundle with leaving = true in [failure-domain %s]", name, name)
		}
	}
}

// lintError returns an error with the text of every error that lint finds in bundle as a replacement of inForce, or
// nil.
func lintError(bundle, inForce *Bundle) error {
	var problems []string
	for _, finding := range Lint(bundle, inForce) {
		if finding.severity == SeverityError {
			problems = append(problems, finding.text)
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return eris.Errorf("the bundle would break: %s", strings.Join(problems, "; "))
}
