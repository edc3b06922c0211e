package configurer

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// pageCells returns the cells of the operators' page that repeat the table: name, unit, default and bounds.
func (setting Setting) pageCells() string {
	fallback, bounds := setting.fallback, "no spaces"
	switch {
	case setting.required:
		fallback = "required"
	case fallback == "":
		fallback = "none"
	}
	switch setting.unit {
	case UnitAddress:
		bounds = "IP number and port"
	case UnitKeys:
		bounds = "NAME:KEY,NAME:KEY"
	case UnitCount, UnitMilliseconds:
		bounds = fmt.Sprintf("%d to %d", setting.low, setting.high)
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | ", setting.name, setting.unit, fallback, bounds)
}

// Guards against settings that are missing in the operators' page, that stand there with another unit, default or bound,
// and rows of settings that no longer exist.
func TestOperatorsPageListsSettings(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/operators.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(page), "\n## Settings\n")
	is.True(found)
	section, _, _ = strings.Cut(section, "\n## ")
	for _, setting := range Table() {
		if !strings.Contains(section, "\n"+setting.pageCells()) {
			t.Errorf("docs/operators.md, section Settings, lacks a row that begins with %s", setting.pageCells())
		}
	}
	rows := regexp.MustCompile("(?m)^\\| `").FindAllString(section, -1)
	is.Equal(len(rows), len(Table())) // one row per setting
}
