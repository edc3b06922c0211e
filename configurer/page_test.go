package configurer

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// tableCells returns the cells that docs/operators.md must have for the setting: name, unit, default and bounds.
func (setting Setting) tableCells() string {
	defaultValue, bounds := setting.defaultValue, "no spaces"
	switch {
	case setting.required:
		defaultValue = "required"
	case defaultValue == "":
		defaultValue = "none"
	}
	switch setting.unit {
	case UnitAddress:
		bounds = "IP address and port"
	case UnitKeys:
		bounds = "NAME:KEY,NAME:KEY"
	case UnitCount, UnitMilliseconds:
		bounds = fmt.Sprintf("%d to %d", setting.minimum, setting.maximum)
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | ", setting.name, setting.unit, defaultValue, bounds)
}

// Guards against settings that docs/operators.md does not list or lists with a different unit, default or bounds, and
// against rows of removed settings.
func TestOperatorsPageListsSettings(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/operators.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(page), "\n## Settings\n")
	is.True(found)
	section, _, _ = strings.Cut(section, "\n## ")
	for _, setting := range Table() {
		if !strings.Contains(section, "\n"+setting.tableCells()) {
			t.Errorf("docs/operators.md, section Settings, has no row that begins with %s", setting.tableCells())
		}
	}
	rows := regexp.MustCompile("(?m)^\\| `").FindAllString(section, -1)
	is.Equal(len(rows), len(Table())) // one row per setting
}
