package bundler

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against values that are dropped or misread, and against unintended changes of defaults.
func TestParse(t *testing.T) {
	is := is.New(t)
	bundle := mustParse(t, bundleText(7, "all sections", `
[failure-domain haiphong-b]
leaving = true
[service loops]
protocol = worker
[policy]
response-time-weight = 80`))
	is.Equal(bundle.Version(), int64(7))
	is.Equal(bundle.FailureDomains(), []string{"haiphong-b", "hanoi-a"})
	domain, _ := bundle.FailureDomain("haiphong-b")
	is.True(domain.Leaving())
	service, _ := bundle.Service("loops")
	is.Equal(service.Protocol(), ProtocolWorker)
	is.Equal(bundle.Targets(), []Target{{name: "runner-1", failureDomain: "hanoi-a", service: "loops", address: "127.0.0.1:1", slots: 8}})
	kind, _ := bundle.Kind("loop-check")
	is.Equal(kind, Kind{name: "loop-check", service: "loops", repeatable: true, maxTasks: 130, maxInFlight: maxInFlight, runTime: 200 * time.Millisecond})
	objective, _ := bundle.Objective("loop-check")
	is.Equal(objective, Objective{"loop-check", 400 * time.Millisecond, 99.5})
	team, _ := bundle.Team("heating")
	is.Equal(team.MaxInFlight(), 100)
	is.Equal(bundle.Policy(), Policy{80, defaultWeight})
	is.Equal(bundle.Retention(), Retention{time.Minute})
}

// Guards against a parser that accepts unknown, repeated or out-of-range values, and against errors that do not name
// the line and key.
func TestParseErrors(t *testing.T) {
	tests := []struct{ text, want string }{
		{"", "[bundle] version: is missing"},
		{"[bundle]\nversion = 1", "no [failure-domain NAME]"},
		{"[bundle]\nversion = 0", `line 1: [bundle] version: got "0", allowed are 1 to`},
		{"[bundle]\nversion = 1\nversion = 2", "line 3: [bundle] version: is given twice"},
		{"[bundle]\nversion = 1\n[bundle]\nversion = 2", "line 3: [bundle]: allowed is one section"},
		{"version = 1", "line 1: got \"version = 1\", expected key = value inside a section"},
		{"[bundle\n", "line 1: got \"[bundle\", expected a section"},
		{"[kind a b]\n", "expected a section such as"},
		{"[kind]\n", "line 1: [kind]: a name is missing"},
		{"[quota x]\n", "line 1: [quota x]: is not a known section"},
		{"[policy]\nweight = 1", "line 1: [policy] weight: is not a known key"},
		{"[team x]\n", "line 1: [team x] max-in-flight: is missing"},
		{"[team x]\nmax-in-flight = 1\n[team x]\nmax-in-flight = 1", "line 3: [team x] section: is given twice"},
		{"[objective x]\nwithin-ms = 1\ntarget-percent = NaN", `target-percent: got "NaN", allowed are 0 to 100`},
		{"[retention]\nlog-seconds = 59", `log-seconds: got "59", allowed are 60 to`},
		{"[kind x]\nservice = y\nrepeatable = yes", `repeatable: got "yes", allowed are true and false`},
		{"[target x]\nfailure-domain = a\nservice = y\naddress = z\nslots = 1", `address: got "z", expected host:port`},
		{bundleText(1, "x", "[target runner-1]\nfailure-domain = hanoi-a\nservice = y\naddress = z:1\nslots = 1"), "[target runner-1]: is given twice"},
		{"[team \xff]\n", "not UTF-8"},
		{"[team x]" + strings.Repeat("\n = ", 2), "line 3: [team x] : is given twice"},
		{"[team x]\na=\nb=\nc=\nd=\ne=\nf=\ng=\nh=\ni=\nj=\nk=\nl=\nm=\nn=\no=\np=\nq=", "line 18: [team x] has more than 16 keys"},
	}
	for _, test := range tests {
		if _, err := Parse([]byte(test.text)); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: got %v, want %q", test.text, err, test.want)
		}
	}
}

// workers is a service with one worker, which has 32 cores and 128 GB of memory.
const workers = "[service plans]\nprotocol = worker\n[target worker-1]\nfailure-domain = hanoi-a\nservice = plans\n" +
	"address = 127.0.0.1:3\nslots = 32\nrack = rack-1\nmilli-cores = 32000\nmemory-mb = 131072"

// Guards against bundles that parse but would not work, and against findings on valid bundles.
func TestLint(t *testing.T) {
	twoDomains := bundleText(1, "two", "[failure-domain srt]")
	tests := []struct {
		name, before, after, want string
	}{
		{"sound", bundleText(1, ""), bundleText(2, ""), ""},
		{"first", "", bundleText(1, ""), ""},
		{"no target for a kind", "", bundleText(1, "", "[kind x]\nservice = none\nrepeatable = true"), `[kind x] service: "none" has no target`},
		{"kind without a target in one failure domain", "", twoDomains, "warning: [kind loop-check] service: \"loops\" has no target in failure domain srt"},
		{"kind limit of 0", "", bundleText(1, "", "[kind x]\nservice = loops\nrepeatable = true\nmax-in-flight = 0"), "[kind x] max-in-flight: 0"},
		{"task limit of 0", "", bundleText(1, "", "[kind x]\nservice = loops\nrepeatable = true\nmax-tasks = 0"), "[kind x] max-tasks: 0"},
		{"team limit of 0", "", bundleText(1, "", "[team x]\nmax-in-flight = 0"), "[team x] max-in-flight: 0"},
		{"target without slots", "", strings.ReplaceAll(bundleText(1, ""), "slots = 8", "slots = 0"), "[target runner-1] slots: 0"},
		{"weight out of range", "", bundleText(1, "", "[policy]\nresponse-time-weight = 101"), "response-time-weight: 101 is out of range"},
		{"other weight out of range", "", bundleText(1, "", "[policy]\nwasted-message-weight = 101"), "wasted-message-weight: 101 is out of range"},
		{"no weight", "", bundleText(1, "", "[policy]\nresponse-time-weight = 0\nwasted-message-weight = 0"), "both weights are 0"},
		{"objective without a kind", "", bundleText(1, "", "[objective x]\nwithin-ms = 1\ntarget-percent = 99"), "[objective x]: there is no kind"},
		{"objective without a budget", "", strings.ReplaceAll(bundleText(1, ""), "99.5", "100"), "target-percent: 100 leaves no error budget"},
		{"objective of no time", "", strings.ReplaceAll(bundleText(1, ""), "within-ms = 400", "within-ms = 0"), "within-ms: 0 cannot be met"},
		{"objective below the run time", "", strings.ReplaceAll(bundleText(1, ""), "within-ms = 400", "within-ms = 100"), "warning: [objective loop-check] within-ms"},
		{"removed with targets", "", strings.ReplaceAll(bundleText(1, ""), "[failure-domain hanoi-a]", "[failure-domain srt]"), `"hanoi-a" has no section, but still has this target`},
		{"removed while it may hold keys", twoDomains, bundleText(2, ""), "failure domain srt is removed but may still hold keys"},
		{"removed after leaving", twoDomains + "\nleaving = true", bundleText(2, ""), ""},
		{"all leaving", "", strings.ReplaceAll(bundleText(1, ""), "[failure-domain hanoi-a]", "[failure-domain hanoi-a]\nleaving = true"), "every failure domain is leaving"},
		{"version stays", bundleText(2, ""), bundleText(2, ""), "version: 2 is not above 2"},
		{"kind on workers without a size", "", bundleText(1, "", workers, "[kind plan]\nservice = plans\nrepeatable = true"), "[kind plan] milli-cores: a kind that runs on workers needs a size"},
		{"kind that fits no worker", "", bundleText(1, "", workers, "[kind plan]\nservice = plans\nrepeatable = true\nmemory-mb = 200000"), "[kind plan]: its size is larger than any worker"},
		{"kind that fits a worker", "", bundleText(1, "", workers, "[kind plan]\nservice = plans\nrepeatable = true\nmemory-mb = 2000"), ""},
		{"address twice", "", bundleText(1, "", "[target x]\nfailure-domain = hanoi-a\nservice = loops\naddress = 127.0.0.1:1\nslots = 1"), "warning: [target x] address"},
	}
	for _, test := range tests {
		var before *Bundle
		if test.before != "" {
			before = mustParse(t, test.before)
		}
		findings := Lint(mustParse(t, test.after), before)
		found := slices.ContainsFunc(findings, func(finding Finding) bool { return strings.Contains(finding.String(), test.want) })
		if test.want == "" && len(findings) > 0 || test.want != "" && !found {
			t.Errorf("%s: got %v, want %q", test.name, findings, test.want)
		}
	}
}

// Guards against a change that is missing from the diff that the approver reads.
func TestDiff(t *testing.T) {
	is := is.New(t)
	before := mustParse(t, bundleText(1, "", "[service old]", "[target a]\nfailure-domain = hanoi-a\nservice = loops\naddress = 127.0.0.1:2\nslots = 1"))
	after := strings.NewReplacer("slots = 8", "slots = 9", "max-in-flight = 100", "max-in-flight = 50", "99.5", "99.9", "true", "false").
		Replace(bundleText(2, "", "[team new]\nmax-in-flight = 3", "[policy]\nresponse-time-weight = 60", "[failure-domain srt]"))
	is.Equal(Diff(before, mustParse(t, after)), []string{
		"version: from 1 to 2",
		"policy: response-time-weight from 50 to 60",
		"failure domain srt added (leaving false, split false)",
		"service old removed",
		"kind loop-check: repeatable from true to false",
		"objective loop-check: target-percent from 99.5 to 99.9",
		"team heating: max-in-flight from 100 to 50",
		"team new added (max-in-flight 3)",
		"target a removed from hanoi-a",
		"target runner-1: slots from 8 to 9",
	})
	is.Equal(Diff(before, before), nil)
	is.Equal(len(Diff(nil, before)), 10) // all sections are new
}

// Guards against a parser that panics, or that accepts a bundle on which Diff or Lint fails.
func FuzzParse(f *testing.F) {
	f.Add([]byte(bundleText(1, "seed", "[failure-domain srt]\nleaving = true", "[service x]\nprotocol = worker", "[policy]\nresponse-time-weight = 3")))
	f.Add([]byte("[bundle]\r\nversion = 1\r\n[failure-domain a]\r\n; comment"))
	f.Add([]byte("[target a]\naddress = [::1]:1\nslots ==1\n[]\n=\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		bundle, err := Parse(text)
		if err != nil {
			return
		}
		if lines := Diff(bundle, bundle); len(lines) > 0 {
			t.Errorf("a bundle differs from itself: %v", lines)
		}
		Lint(bundle, bundle)
	})
}

// Guards against a decoder that panics or accepts a record that does not survive encoding, and against an unsigned
// bundle in force.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(encode(v2))
	f.Add(encode(renewal(v2, 1, 4)))
	f.Add(encode(v2)[:100])
	f.Add([]byte(`{"version":1,"replaces":null,"text":"\ud800"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := DecodeRecord(encode(record))
		if err != nil || again.Text != record.Text || again.Version != record.Version || again.replacedOffset() != record.replacedOffset() {
			t.Errorf("decoding again: got %+v, %v, want %+v", again, err, record)
		}
		bundler := New(testKeys)
		bundler.ApplyPage(page(0, v1), start)
		bundler.ApplyPage(Page{Next: 2, Entries: []Entry{{Offset: 1, Data: data}}}, start)
		if offer, _ := bundler.Offer(); offer.Offset == 1 && record.Text != v2.Text && record.Text != v2Loser.Text {
			t.Errorf("a record came into force that nobody signed: %s", data)
		}
	})
}

// Guards against an example in the operators' documentation that no longer parses or has lint findings.
func TestOperatorsPage(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "docs", "operators.md"))
	if err != nil {
		t.Fatalf("reading the page: %v", err)
	}
	_, rest, _ := strings.Cut(string(text), "```ini\n")
	example, _, ok := strings.Cut(rest, "```")
	if !ok {
		t.Fatal("the page shows no bundle")
	}
	if findings := Lint(mustParse(t, example), nil); len(findings) > 0 {
		t.Errorf("findings in the example: %v", findings)
	}
}
