package inifile

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"
)

// header matches [kind] and [kind "name"].
var header = regexp.MustCompile(`^\[\s*([A-Za-z]+)(?:\s+"([^"]*)")?\s*\](?:\s*[#;].*)?$`)

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	// Line counts from 1.
	Line int
}

// Section is one section with its keys in order.
type Section struct {
	Kind string
	Name string
	// Line counts from 1.
	Line int
	Keys []Key
}

// Title returns the section's header without the brackets.
func (s Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + ` "` + s.Name + `"`
}

// File is a parsed text and the findings in it so far.
type File struct {
	Name     string
	Sections []Section
	findings Findings
}

// Parse reads a text. Faults of the syntax become findings, and reading continues on the next line.
func Parse(name string, text []byte) *File {
	f := &File{
		Name: name,
	}
	lines := strings.Split(strings.TrimPrefix(string(text), "\ufeff"), "\n")
	for i, line := range lines {
		f.parseLine(i+1, strings.TrimSpace(line))
	}
	return f
}

// Add records a finding in a section; key may be empty.
func (f *File) Add(section Section, key Key, format string, args ...any) {
	line := key.Line
	if line == 0 {
		line = section.Line
	}
	f.findings = append(f.findings, Finding{
		File:    f.Name,
		Section: section.Title(),
		Key:     key.Name,
		Line:    line,
		Problem: fmt.Sprintf(format, args...),
	})
}

// Err returns all findings as Findings, or nil.
func (f *File) Err() error {
	return f.findings.Sorted().Err()
}

// First returns the first section of a kind, or an empty one.
func (f *File) First(kind string) Section {
	for _, section := range f.Sections {
		if section.Kind == kind {
			return section
		}
	}
	return Section{
		Kind: kind,
	}
}

// Known reports sections whose kind is not among kinds, and repeated sections. Kinds in named need a name; the others
// take none.
func (f *File) Known(kinds []string, named ...string) {
	seen := map[string]int{}
	for _, section := range f.Sections {
		f.checkKind(section, kinds, named)
		if line, ok := seen[section.Title()]; ok {
			f.Add(section, Key{}, "the section is already at line %d", line)
			continue
		}
		seen[section.Title()] = section.Line
	}
}

// Reader returns a reader of a section's keys.
func (f *File) Reader(section Section) *Reader {
	return newReader(f, section)
}

func (f *File) addSection(line int, text string) {
	match := header.FindStringSubmatch(text)
	if match == nil {
		f.Sections = append(f.Sections, Section{
			Line: line,
		})
		f.findings = append(f.findings, Finding{
			File:    f.Name,
			Line:    line,
			Problem: fmt.Sprintf(`%s is no section; write [kind] or [kind "name"]`, text),
		})
		return
	}
	f.Sections = append(f.Sections, Section{
		Kind: match[1],
		Name: match[2],
		Line: line,
	})
}

func (f *File) checkKind(section Section, kinds, named []string) {
	if section.Kind == "" {
		return
	}
	for _, kind := range named {
		if section.Kind != kind {
			continue
		}
		if section.Name == "" {
			f.Add(section, Key{}, `needs a name: [%s "name"]`, kind)
		}
		return
	}
	for _, kind := range kinds {
		if section.Kind != kind {
			continue
		}
		if section.Name != "" {
			f.Add(section, Key{}, "takes no name: [%s]", kind)
		}
		return
	}
	f.Add(section, Key{}, "unknown section%s", suggest(section.Kind, append(kinds, named...)))
}

func (f *File) parseLine(number int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return
	case line[0] == '[':
		f.addSection(number, line)
		return
	}
	key, err := parseKey(line)
	key.Line = number
	if len(f.Sections) == 0 {
		f.findings = append(f.findings, Finding{
			File:    f.Name,
			Key:     key.Name,
			Line:    number,
			Problem: "stands before the first section",
		})
		return
	}
	section := &f.Sections[len(f.Sections)-1]
	if err != nil {
		f.Add(*section, key, "%v", err)
		return
	}
	for _, earlier := range section.Keys {
		if earlier.Name == key.Name {
			f.Add(*section, key, "the key is already at line %d", earlier.Line)
			return
		}
	}
	section.Keys = append(section.Keys, key)
}

// parseKey parses one line with the INI library, line by line, because the library reports no line numbers.
func parseKey(line string) (Key, error) {
	name, value, found := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	if !found {
		return Key{}, fmt.Errorf("%s has no value; write key = value", strconv.Quote(line))
	}
	value = strings.TrimSpace(value)
	if strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") {
		return Key{Name: name}, fmt.Errorf("values take one line, without %s", value[:1])
	}
	loaded, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}, []byte(line))
	if err != nil {
		return Key{Name: name}, fmt.Errorf("%s is no key = value line", strconv.Quote(line))
	}
	keys := loaded.Section(ini.DefaultSection).Keys()
	if len(keys) != 1 {
		return Key{Name: name}, fmt.Errorf("%s is no key = value line", strconv.Quote(line))
	}
	return Key{
		Name:  keys[0].Name(),
		Value: keys[0].Value(),
	}, nil
}

// suggest returns a hint that names the nearest candidate. A candidate that differs in most of its letters is left out,
// because it would mislead.
func suggest(word string, candidates []string) string {
	nearest, least := "", 0
	for _, candidate := range candidates {
		distance := levenshtein.ComputeDistance(strings.ToLower(word), candidate)
		if nearest == "" || distance < least {
			nearest, least = candidate, distance
		}
	}
	if nearest == "" {
		return ""
	}
	if least > (len(nearest)+1)/2 {
		return "; known are " + strings.Join(candidates, ", ")
	}
	return fmt.Sprintf("; did you mean %s?", nearest)
}
