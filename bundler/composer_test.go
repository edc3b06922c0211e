package bundler

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// splitText returns the text of a common part whose failure domain hanoi-a is split.
func splitText(version int64) string {
	text := strings.ReplaceAll(bundleText(version, "split"), "[failure-domain hanoi-a]", "[failure-domain hanoi-a]\nsplit = true")
	before, rest, _ := strings.Cut(text, "[target")
	_, after, _ := strings.Cut(rest, "[kind")
	return before + "[kind" + after
}

// partText returns the text of a failure domain's part with one target.
func partText(version int64, domain, target string) string {
	return fmt.Sprintf("[bundle]\nversion = %d\npart = %s\n[retention]\nlog-seconds = 60\n[target %s]\nfailure-domain = %s\nservice = loops\naddress = 127.0.0.1:9\nslots = 8\n",
		version, domain, target, domain)
}

// Guards against a composer that puts a bundle without targets in force while the part is missing, uses the part of
// another failure domain, or returns to an older combination of common part and part.
func TestComposer(t *testing.T) {
	is := is.New(t)
	composer := NewComposer(testKeys, "hanoi-a")
	common, part := composer.Bundlers()[0], composer.Bundlers()[1]
	is.Equal(part.Stream(), "bundles-hanoi-a")
	compose := func() string {
		before, called := composer.Bundle(), false
		composer.Compose(func(bundle *Bundle) { called = bundle == composer.Bundle() })
		bundle := composer.Bundle()
		is.Equal(called, bundle != before)
		if bundle == nil {
			return ""
		}
		return fmt.Sprintf("%d/%d %s", bundle.Version(), bundle.PartVersion(), bundle.Targets()[0].Name())
	}
	is.Equal(compose(), "")
	common.ApplyPage(page(0, v1), start)
	is.Equal(compose(), "1/0 runner-1") // without a split, no part is needed
	common.ApplyPage(page(1, signed(splitText(2), 0)), start)
	is.Equal(compose(), "1/0 runner-1") // the previous bundle stays in force until the part is read
	part.ApplyPage(page(0, signed(partText(5, "srt", "foreign"), noOffset), signed(partText(1, "hanoi-a", "w-1"), noOffset)), start)
	is.Equal(compose(), "2/1 w-1")
	part.ApplyPage(page(2, signed(partText(2, "hanoi-a", "w-2"), 1)), start)
	is.Equal(compose(), "2/2 w-2")
	_, err := common.HandleOffer(Offer{Record: signed(partText(9, "hanoi-a", "w-9"), noOffset), Offset: 50, UnreplacedThrough: 50}, start)
	is.True(err != nil) // a part is not accepted as the common part
	is.Equal(compose(), "2/2 w-2")
	common.ApplyPage(page(2, signed(bundleText(3, "joined"), 1)), start)
	is.Equal(compose(), "3/0 runner-1") // no longer split
}

// Guards against a split that leaves a failure domain without targets, and against parts that hold more than targets.
func TestLintParts(t *testing.T) {
	is := is.New(t)
	common, part := mustParse(t, splitText(2)), mustParse(t, partText(1, "hanoi-a", "w-1"))
	is.Equal(Lint(common, nil), nil)
	is.Equal(Lint(part, nil), nil)
	is.Equal(LintPart(part, common), nil)
	is.Equal(LintParts(common, nil, map[string]*Bundle{"hanoi-a": part}), nil)
	missing := LintParts(common, nil, nil)
	is.True(len(missing) == 1 && strings.Contains(missing[0].String(), "error: failure domain hanoi-a is split but has no part in force on stream bundles-hanoi-a"))
	other := mustParse(t, strings.ReplaceAll(partText(1, "hanoi-a", "w-1"), "loops", "quotes"))
	findings := LintParts(common, nil, map[string]*Bundle{"hanoi-a": other})
	is.True(len(findings) == 1 && strings.Contains(findings[0].String(), `error: [kind loop-check] service: "loops" has no target`))
	is.Equal(len(LintPart(other, mustParse(t, bundleText(1, "")))), 2) // the failure domain is not split yet, and the kind has no target
	inside := mustParse(t, strings.ReplaceAll(bundleText(1, ""), "[failure-domain hanoi-a]", "[failure-domain hanoi-a]\nsplit = true"))
	is.True(strings.Contains(fmt.Sprint(Lint(inside, nil)), "is split, so its targets belong in its own part"))
	foreign := mustParse(t, strings.ReplaceAll(partText(1, "hanoi-a", "w-1"), "part = hanoi-a", "part = srt"))
	is.True(strings.Contains(fmt.Sprint(Lint(foreign, nil)), `got "hanoi-a", but this is the part of "srt"`))
	_, err := parseText(partText(1, "hanoi-a", "w-1") + "[team x]\nmax-in-flight = 1\n")
	is.True(err != nil && strings.Contains(err.Error(), "may hold only [bundle], [retention] and [target NAME]"))
}
