package inifile

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Reader reads the keys of one section and remembers which keys exist.
type Reader struct {
	file    *File
	section Section
	asked   []string
}

func newReader(file *File, section Section) *Reader {
	return &Reader{
		file:    file,
		section: section,
	}
}

// Bad reports a fault of a key that the caller found in its value.
func (r *Reader) Bad(name, format string, args ...any) {
	key, ok := r.find(name)
	if !ok {
		key = Key{
			Name: name,
		}
	}
	r.file.Add(r.section, key, format, args...)
}

// Choice returns a key that takes one of a few values.
func (r *Reader) Choice(name, byDefault string, values ...string) string {
	value, ok := r.value(name)
	if !ok {
		return byDefault
	}
	if !slices.Contains(values, value) {
		r.Bad(name, "%q is not %s%s", value, strings.Join(values, " or "), nearestValue(value, values))
		return byDefault
	}
	return value
}

// Duration returns a duration of at least least.
func (r *Reader) Duration(name string, byDefault, least time.Duration) time.Duration {
	value, ok := r.value(name)
	if !ok {
		return byDefault
	}
	parsed, err := time.ParseDuration(value)
	switch {
	case err != nil:
		r.Bad(name, "%q is no duration; write for example 10s or 1m30s", value)
		return byDefault
	case parsed < least:
		r.Bad(name, "%s is below the least value %s", value, least)
		return byDefault
	}
	return parsed
}

// Finish reports the keys of the section that were not read.
func (r *Reader) Finish() {
	for _, key := range r.section.Keys {
		if !slices.Contains(r.asked, key.Name) {
			r.file.Add(r.section, key, "unknown key%s", suggest(key.Name, r.asked))
		}
	}
}

// Has reports whether the section holds the key.
func (r *Reader) Has(name string) bool {
	_, ok := r.find(name)
	return ok
}

// Int returns a whole number in a range.
func (r *Reader) Int(name string, byDefault, least, most int) int {
	value, ok := r.value(name)
	if !ok {
		return byDefault
	}
	parsed, err := strconv.Atoi(value)
	switch {
	case err != nil:
		r.Bad(name, "%q is no whole number", value)
		return byDefault
	case parsed < least || parsed > most:
		r.Bad(name, "%d is not between %d and %d", parsed, least, most)
		return byDefault
	}
	return parsed
}

// Line returns the line of a key, or of the section when the key is absent.
func (r *Reader) Line(name string) int {
	if key, ok := r.find(name); ok {
		return key.Line
	}
	return r.section.Line
}

// List returns the parts of a comma-separated key without the spaces around them.
func (r *Reader) List(name string) []string {
	value, ok := r.value(name)
	if !ok {
		return nil
	}
	var parts []string
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			r.Bad(name, "%q has an empty part between commas", value)
			continue
		}
		parts = append(parts, part)
	}
	return parts
}

// String returns a key's value.
func (r *Reader) String(name, byDefault string) string {
	value, ok := r.value(name)
	if !ok {
		return byDefault
	}
	return value
}

func (r *Reader) find(name string) (Key, bool) {
	for _, key := range r.section.Keys {
		if key.Name == name {
			return key, true
		}
	}
	return Key{}, false
}

// value returns a key's value; an empty value counts as absent.
func (r *Reader) value(name string) (string, bool) {
	if !slices.Contains(r.asked, name) {
		r.asked = append(r.asked, name)
	}
	key, ok := r.find(name)
	return key.Value, ok && key.Value != ""
}

func nearestValue(value string, values []string) string {
	hint := suggest(value, values)
	if strings.Contains(hint, "known are") {
		return ""
	}
	return hint
}
