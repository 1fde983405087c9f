package document

import (
	"fmt"
	"slices"
	"strings"

	"radishpath.example/radishpath/inifile"
)

// SetZone returns the text with the state of one zone changed and nothing else. The zone must be in the text.
func SetZone(text, zone string, in bool) (string, error) {
	wanted := "out"
	if in {
		wanted = "in"
	}
	section, err := findZone(text, zone)
	if err != nil {
		return "", err
	}
	lines := strings.Split(text, "\n")
	for _, key := range section.Keys {
		if key.Name != "state" {
			continue
		}
		line := lines[key.Line-1]
		if key.Value == wanted {
			return text, nil
		}
		lines[key.Line-1] = replaceValue(line, key.Value, wanted)
		return strings.Join(lines, "\n"), nil
	}
	if in {
		return text, nil
	}
	lines = slices.Insert(lines, section.Line, "state = "+wanted)
	return strings.Join(lines, "\n"), nil
}

func findZone(text, zone string) (inifile.Section, error) {
	var names []string
	for _, section := range inifile.Parse(streamName, []byte(text)).Sections {
		if section.Kind != "zone" {
			continue
		}
		if section.Name == zone {
			return section, nil
		}
		names = append(names, section.Name)
	}
	if len(names) == 0 {
		return inifile.Section{}, fmt.Errorf("the document has no zone %q and no other zone", zone)
	}
	return inifile.Section{}, fmt.Errorf("the document has no zone %q; it has %s", zone, strings.Join(names, ", "))
}

// replaceValue changes the value behind the equals sign and keeps spaces and a comment.
func replaceValue(line, from, to string) string {
	key, rest, _ := strings.Cut(line, "=")
	if from == "" {
		return key + "= " + to
	}
	return key + "=" + strings.Replace(rest, from, to, 1)
}
