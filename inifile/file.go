package inifile

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"
)

// sectionHeader matches [kind] and [kind "name"].
var sectionHeader = regexp.MustCompile(`^\[\s*([A-Za-z]+)(?:\s+"([^"]*)")?\s*\](?:\s*[#;].*)?$`)

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

// Title returns the section header without the brackets.
func (s Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + ` "` + s.Name + `"`
}

// File is a parsed INI text with the findings so far.
type File struct {
	Name     string
	Sections []Section
	findings Findings
}

// Parse parses a text. Syntax errors are recorded as findings, and parsing continues with the next line.
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

// AddFinding records a finding in a section. The key may be the zero Key.
func (f *File) AddFinding(section Section, key Key, format string, args ...any) {
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

// Err returns all findings as an error of type Findings, or nil if there are none.
func (f *File) Err() error {
	return f.findings.Sorted().Err()
}

// FirstSection returns the first section of a kind, or an empty section if there is none.
func (f *File) FirstSection(kind string) Section {
	for _, section := range f.Sections {
		if section.Kind == kind {
			return section
		}
	}
	return Section{
		Kind: kind,
	}
}

// CheckSections reports sections of unknown kinds and repeated sections. Sections of a kind in namedKinds require a
// name; those of a kind in unnamedKinds must not have one.
func (f *File) CheckSections(unnamedKinds []string, namedKinds ...string) {
	firstLines := map[string]int{}
	for _, section := range f.Sections {
		f.checkKind(section, unnamedKinds, namedKinds)
		if line, ok := firstLines[section.Title()]; ok {
			f.AddFinding(section, Key{}, "section already defined at line %d", line)
			continue
		}
		firstLines[section.Title()] = section.Line
	}
}

// Reader returns a reader for the keys of a section.
func (f *File) Reader(section Section) *Reader {
	return newReader(f, section)
}

func (f *File) addSection(line int, text string) {
	match := sectionHeader.FindStringSubmatch(text)
	if match == nil {
		f.Sections = append(f.Sections, Section{
			Line: line,
		})
		f.findings = append(f.findings, Finding{
			File:    f.Name,
			Line:    line,
			Problem: fmt.Sprintf(`%s is not a section header; write [kind] or [kind "name"]`, text),
		})
		return
	}
	f.Sections = append(f.Sections, Section{
		Kind: match[1],
		Name: match[2],
		Line: line,
	})
}

func (f *File) checkKind(section Section, unnamedKinds, namedKinds []string) {
	if section.Kind == "" {
		return
	}
	for _, kind := range namedKinds {
		if section.Kind != kind {
			continue
		}
		if section.Name == "" {
			f.AddFinding(section, Key{}, `needs a name: [%s "name"]`, kind)
		}
		return
	}
	for _, kind := range unnamedKinds {
		if section.Kind != kind {
			continue
		}
		if section.Name != "" {
			f.AddFinding(section, Key{}, "takes no name: [%s]", kind)
		}
		return
	}
	f.AddFinding(section, Key{}, "unknown section%s", suggest(section.Kind, append(unnamedKinds, namedKinds...)))
}

func (f *File) parseLine(lineNumber int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return
	case line[0] == '[':
		f.addSection(lineNumber, line)
		return
	}
	key, err := parseKey(line)
	key.Line = lineNumber
	if len(f.Sections) == 0 {
		f.findings = append(f.findings, Finding{
			File:    f.Name,
			Key:     key.Name,
			Line:    lineNumber,
			Problem: "key before the first section",
		})
		return
	}
	section := &f.Sections[len(f.Sections)-1]
	if err != nil {
		f.AddFinding(*section, key, "%v", err)
		return
	}
	for _, earlier := range section.Keys {
		if earlier.Name == key.Name {
			f.AddFinding(*section, key, "key already defined at line %d", earlier.Line)
			return
		}
	}
	section.Keys = append(section.Keys, key)
}

// parseKey parses a single line with the INI library, because the library reports no line numbers for a whole file.
func parseKey(line string) (Key, error) {
	name, value, found := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	if !found {
		return Key{}, fmt.Errorf("%s has no value; write key = value", strconv.Quote(line))
	}
	value = strings.TrimSpace(value)
	if strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") {
		return Key{Name: name}, fmt.Errorf("multi-line values (%s) are not supported", value[:1])
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}, []byte(line))
	if err != nil {
		return Key{Name: name}, fmt.Errorf("%s is not a key = value line", strconv.Quote(line))
	}
	keys := parsed.Section(ini.DefaultSection).Keys()
	if len(keys) != 1 {
		return Key{Name: name}, fmt.Errorf("%s is not a key = value line", strconv.Quote(line))
	}
	return Key{
		Name:  keys[0].Name(),
		Value: keys[0].Value(),
	}, nil
}

// suggest returns a hint with the candidate that has the smallest edit distance to word. If that candidate differs in
// more than half of its letters, the hint lists all candidates instead, because a suggestion would be misleading.
func suggest(word string, candidates []string) string {
	nearest, minDistance := "", 0
	for _, candidate := range candidates {
		distance := levenshtein.ComputeDistance(strings.ToLower(word), candidate)
		if nearest == "" || distance < minDistance {
			nearest, minDistance = candidate, distance
		}
	}
	if nearest == "" {
		return ""
	}
	if minDistance > (len(nearest)+1)/2 {
		return "; known are " + strings.Join(candidates, ", ")
	}
	return fmt.Sprintf("; did you mean %s?", nearest)
}
