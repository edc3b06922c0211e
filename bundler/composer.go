package bundler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Composer combines the common part with the part of one failure domain. At the target scale a bundle has 2.3 MB and
// changes 9,500 times a day, so an instance reads only the targets of its own failure domain.
type Composer struct {
	domain string
	common *Bundler
	part   *Bundler

	composed atomic.Pointer[Bundle]

	mu sync.Mutex
	// composedCommon and composedPart are the snapshots that composed was built from.
	composedCommon, composedPart *Snapshot
}

// NewComposer returns a composer for an instance in failureDomain that accepts signatures by keys.
func NewComposer(keys Keys, failureDomain string) *Composer {
	return &Composer{domain: failureDomain, common: New(keys), part: NewPart(keys, failureDomain)}
}

// Bundlers returns the bundlers of the common part and of the failure domain's part. The caller passes each the pages
// of its stream and the offers of peers that have the same part.
func (composer *Composer) Bundlers() []*Bundler { return []*Bundler{composer.common, composer.part} }

// Bundle returns the bundle in force, or nil if there is none yet. It never blocks.
func (composer *Composer) Bundle() *Bundle { return composer.composed.Load() }

// Compose combines the bundles that the bundlers have in force and calls changed if the result is new. Calls of changed
// do not overlap, so a later call never passes an older bundle. While the common part says that the failure domain is
// split but its part is missing, the previous bundle stays in force: a bundle without targets would refuse every job.
func (composer *Composer) Compose(changed func(*Bundle)) {
	composer.mu.Lock()
	defer composer.mu.Unlock()
	common, part := composer.common.Snapshot(), composer.part.Snapshot()
	if common == nil {
		return
	}
	split := common.bundle.domains[composer.domain].split
	if !split {
		part = nil
	}
	if split && part == nil || common == composer.composedCommon && part == composer.composedPart {
		return
	}
	composer.composedCommon, composer.composedPart = common, part
	bundle := common.bundle
	if split {
		bundle = Compose(bundle, part.bundle)
	}
	composer.composed.Store(bundle)
	changed(bundle)
}

// Compose returns a copy of the common bundle with the targets of parts added.
func Compose(common *Bundle, parts ...*Bundle) *Bundle {
	composed := *common
	composed.targets = slices.Clone(common.targets)
	composed.services = maps.Clone(common.services)
	for _, part := range parts {
		composed.partVersion = part.version
		composed.targets = append(composed.targets, part.targets...)
		for name, service := range part.services {
			if _, ok := composed.services[name]; !ok {
				composed.services[name] = service
			}
		}
	}
	slices.SortFunc(composed.targets, func(a, b Target) int { return strings.Compare(a.name, b.name) })
	return &composed
}

func (bundle *Bundle) isComposed() bool { return bundle.partVersion > 0 }

// LintPart checks a part against the common bundle in force and returns warnings only: whether a part comes into force
// cannot depend on the common bundle, because the records of one stream are applied without reading the other.
func LintPart(part, common *Bundle) []Finding {
	linter := &linter{bundle: part}
	if !common.domains[part.part].split {
		linter.warn("the common bundle in force does not say split = true in [failure-domain %s], so this part is not used yet", part.part)
	}
	if part.retention.log != common.retention.log {
		linter.warn("[retention] log-seconds: differs from the common bundle, so renewals may come too late")
	}
	services := make(map[string]bool)
	for _, target := range part.targets {
		services[target.service] = true
	}
	for _, name := range slices.Sorted(maps.Keys(common.kinds)) {
		if service := common.kinds[name].service; !services[service] {
			linter.warn("[kind %s] service: %q has no target in failure domain %s; its jobs spill over", name, service, part.part)
		}
	}
	return linter.findings
}

// LintParts returns the findings on common as a replacement of inForce while parts, keyed by failure domain, are in
// force.
func LintParts(common, inForce *Bundle, parts map[string]*Bundle) []Finding {
	var present []*Bundle
	var findings []Finding
	for _, name := range common.failureDomains {
		switch part := parts[name]; {
		case !common.domains[name].split:
		case part == nil:
			text := fmt.Sprintf("failure domain %s is split but has no part in force on stream %s: publish its part first", name, PartStream(name))
			findings = append(findings, Finding{severity: SeverityError, text: text})
		default:
			present = append(present, part)
		}
	}
	if len(findings) > 0 || len(present) == 0 {
		return append(findings, Lint(common, inForce)...)
	}
	// Targets that wrongly remain in the common part are found only before composing, and missing targets only after
	// it.
	findings = Lint(common, inForce)
	for _, finding := range Lint(Compose(common, present...), inForce) {
		if !slices.Contains(findings, finding) {
			findings = append(findings, finding)
		}
	}
	return findings
}
