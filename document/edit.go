package document

import (
	"fmt"
	"slices"
	"strings"

	"radishpath.example/radishpath/inifile"
)

// SetZone returns the text with only the state of one zone changed. If the text defines no zone at all, a section for
// the zone is appended; otherwise the zone must be one of those that the text defines.
func SetZone(text, zone string, inService bool) (string, error) {
	state := "out"
	if inService {
		state = "in"
	}
	section, found, err := findZone(text, zone)
	if err != nil {
		return "", err
	}
	if !found {
		return fmt.Sprintf("%s\n\n[zone %q]\nstate = %s\n", strings.TrimRight(text, "\n"), zone, state), nil
	}
	lines := strings.Split(text, "\n")
	for _, key := range section.Keys {
		if key.Name != "state" {
			continue
		}
		line := lines[key.Line-1]
		if key.Value == state {
			return text, nil
		}
		lines[key.Line-1] = replaceValue(line, key.Value, state)
		return strings.Join(lines, "\n"), nil
	}
	if inService {
		return text, nil
	}
	lines = slices.Insert(lines, section.Line, "state = "+state)
	return strings.Join(lines, "\n"), nil
}

// findZone returns the section of a zone. It returns an error if the text defines other zones but not this one.
func findZone(text, zone string) (section inifile.Section, found bool, err error) {
	var names []string
	for _, section = range inifile.Parse("document", []byte(text)).Sections {
		if section.Kind != "zone" {
			continue
		}
		if section.Name == zone {
			return section, true, nil
		}
		names = append(names, section.Name)
	}
	if len(names) > 0 {
		return inifile.Section{}, false, fmt.Errorf("the document has no zone %q; it has %s", zone, strings.Join(names, ", "))
	}
	return inifile.Section{}, false, nil
}

// replaceValue replaces the value after the equals sign and preserves whitespace and a trailing comment.
func replaceValue(line, oldValue, newValue string) string {
	key, valueAndComment, _ := strings.Cut(line, "=")
	if oldValue == "" {
		return key + "= " + newValue
	}
	return key + "=" + strings.Replace(valueAndComment, oldValue, newValue, 1)
}
