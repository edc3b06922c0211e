package bundler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Composer joins the common part with the part of one failure domain. At the target scale a bundle has 2.3 MB and
// changes 9,500 times a day, so that an instance reads the targets of its own failure domain only.
type Composer struct {
	domain string
	common *Bundler
	part   *Bundler

	composed atomic.Pointer[Bundle]

	mu sync.Mutex
	// composedCommon and partUsed are the snapshots in composed.
	composedCommon, composedPart *Snapshot
}

// NewComposer returns a composer for an instance in a failure domain that accepts signatures by keys.
func NewComposer(keys Keys, failureDomain string) *Composer {
	return &Composer{domain: failureDomain, common: New(keys), part: NewPart(keys, failureDomain)}
}

// Bundlers returns the bundlers to feed, each from its own stream and by offers of peers that have the same part.
func (composer *Composer) Bundlers() []*Bundler { return []*Bundler{composer.common, composer.part} }

// Bundle returns the bundle in force, or nil if none is proved; it never blocks.
func (composer *Composer) Bundle() *Bundle { return composer.composed.Load() }

// Compose takes over what the bundlers have in force, and calls changed with a new bundle in force; calls do not
// overlap, so that none brings an older bundle. While the common part says that the failure domain is split and its own
// part is missing, the bundle before stays: a bundle without targets would refuse every job.
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

// Compose returns the common bundle with the targets of parts added.
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

// LintPart returns what is doubtful about a part under the common bundle in force; no finding keeps it from being in
// force, because a reader of one stream cannot know the other.
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

// LintParts returns what would break if common replaced inForce while parts, by failure domain, are in force.
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
	// Targets of a split failure domain in the common part show only before composing, missing ones only after it.
	findings = Lint(common, inForce)
	for _, finding := range Lint(Compose(common, present...), inForce) {
		if !slices.Contains(findings, finding) {
			findings = append(findings, finding)
		}
	}
	return findings
}
