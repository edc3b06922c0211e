package server

import (
	"bytes"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against metrics, labels and label values that docs/operators.md lacks, and against rows of metrics that no
// longer exist.
func TestOperatorsPageListsMetrics(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/operators.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(page), "\n## Metrics\n")
	is.True(found)
	section, _, _ = strings.Cut(section, "\n## ")
	labels := make(map[string]string) // the label column, by metric
	for _, row := range regexp.MustCompile("(?m)^\\| `(hyssoplift_[a-z_]+)` \\| ([^|]+) \\|").FindAllStringSubmatch(section, -1) {
		labels[row[1]] = row[2]
	}

	meter := newMeter(func() float64 { return 0 })
	meter.countRequest("complete", time.Millisecond) // an empty histogram is not written
	var text bytes.Buffer
	meter.set.WritePrometheus(&text)
	var exported []string
	label := regexp.MustCompile(`([a-z]+)="([^"]*)"`)
	for line := range strings.Lines(text.String()) {
		name, _, _ := strings.Cut(strings.Fields(line)[0], "{")
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		exported = append(exported, name)
		for _, pair := range label.FindAllStringSubmatch(line, -1) {
			named := strings.Contains(labels[name], "`"+pair[1]+"`")
			if !named || pair[1] != "vmrange" && !strings.Contains(labels[name], pair[2]) { // bucket ranges depend on the recorded values
				t.Errorf("docs/operators.md, section Metrics, lacks %s in the row of %s", pair[0], name)
			}
		}
	}
	for _, name := range exported {
		if labels[name] == "" {
			t.Errorf("docs/operators.md, section Metrics, lacks %s", name)
		}
	}
	for name := range labels {
		is.True(slices.Contains(exported, name)) // the page names only metrics that exist
	}
}
