package bundler

import (
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// maxKeys limits the keys of one section, which are searched linearly. No section has more than eight known keys.
const maxKeys = 16

// section is one section of the INI text. Its header is [class] or [class name]; keys and values are in text order.
type section struct {
	line   int
	class  string
	name   string
	keys   []string
	values []string
}

// title returns the section's header, for messages.
func (section *section) title() string {
	if section.name == "" {
		return "[" + section.class + "]"
	}
	return "[" + section.class + " " + section.name + "]"
}

// scanSections calls visit for each section of text, in order. The section is reused between calls. A key may not
// repeat within a section, because an operator could not see which of its values applies.
func scanSections(text string, visit func(*section) error) error {
	if !utf8.ValidString(text) {
		return eris.New("the bundle is not UTF-8")
	}
	current := &section{}
	for line := 1; len(text) > 0; line++ {
		var content string
		content, text, _ = strings.Cut(text, "\n")
		content = strings.TrimSpace(content)
		switch {
		case content == "" || content[0] == '#' || content[0] == ';':
		case content[0] == '[':
			if err := flush(current, visit); err != nil {
				return err
			}
			if err := current.parseHeader(content, line); err != nil {
				return err
			}
		default:
			if err := current.addKey(content, line); err != nil {
				return err
			}
		}
	}
	return flush(current, visit)
}

// flush calls visit for section, unless no section has been read yet.
func flush(section *section, visit func(*section) error) error {
	if section.class == "" {
		return nil
	}
	return visit(section)
}

func (section *section) parseHeader(content string, line int) error {
	if content[len(content)-1] != ']' {
		return eris.Errorf("line %d: got %q, expected a section such as [kind NAME]", line, content)
	}
	class, name, _ := strings.Cut(strings.TrimSpace(content[1:len(content)-1]), " ")
	section.line, section.class, section.name = line, class, strings.TrimSpace(name)
	section.keys, section.values = section.keys[:0], section.values[:0]
	if class == "" || strings.ContainsAny(section.name, "[] \t") {
		return eris.Errorf("line %d: got %q, expected a section such as [kind NAME]", line, content)
	}
	return nil
}

func (section *section) addKey(content string, line int) error {
	key, value, ok := strings.Cut(content, "=")
	if !ok || section.class == "" {
		return eris.Errorf("line %d: got %q, expected key = value inside a section", line, content)
	}
	if len(section.keys) == maxKeys {
		return eris.Errorf("line %d: %s has more than %d keys", line, section.title(), maxKeys)
	}
	key = strings.TrimSpace(key)
	for _, earlier := range section.keys {
		if earlier == key {
			return eris.Errorf("line %d: %s %s: is given twice", line, section.title(), key)
		}
	}
	section.keys = append(section.keys, key)
	section.values = append(section.values, strings.TrimSpace(value))
	return nil
}
