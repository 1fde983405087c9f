package inifile

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Reader reads the keys of one section and records which keys were requested.
type Reader struct {
	file      *File
	section   Section
	requested []string
}

func newReader(file *File, section Section) *Reader {
	return &Reader{
		file:    file,
		section: section,
	}
}

// ReportInvalid records a finding for a key, with the line of the key if it is present.
func (r *Reader) ReportInvalid(name, format string, args ...any) {
	key, ok := r.findKey(name)
	if !ok {
		key = Key{
			Name: name,
		}
	}
	r.file.AddFinding(r.section, key, format, args...)
}

// Choice returns the value of a key that must be one of the given values.
func (r *Reader) Choice(name, defaultValue string, values ...string) string {
	value, ok := r.value(name)
	if !ok {
		return defaultValue
	}
	if !slices.Contains(values, value) {
		r.ReportInvalid(name, "%q is not %s%s", value, strings.Join(values, " or "), suggestValue(value, values))
		return defaultValue
	}
	return value
}

// Duration returns the value of a key as a duration of at least minValue.
func (r *Reader) Duration(name string, defaultValue, minValue time.Duration) time.Duration {
	value, ok := r.value(name)
	if !ok {
		return defaultValue
	}
	parsed, err := time.ParseDuration(value)
	switch {
	case err != nil:
		r.ReportInvalid(name, "%q is not a duration; write for example 10s or 1m30s", value)
		return defaultValue
	case parsed < minValue:
		r.ReportInvalid(name, "%s is below the minimum of %s", value, minValue)
		return defaultValue
	}
	return parsed
}

// CheckUnknownKeys reports the keys of the section that were never requested.
func (r *Reader) CheckUnknownKeys() {
	for _, key := range r.section.Keys {
		if !slices.Contains(r.requested, key.Name) {
			r.file.AddFinding(r.section, key, "unknown key%s", suggest(key.Name, r.requested))
		}
	}
}

// Has reports whether the section contains the key.
func (r *Reader) Has(name string) bool {
	_, ok := r.findKey(name)
	return ok
}

// Int returns the value of a key as an integer in the range from minValue to maxValue.
func (r *Reader) Int(name string, defaultValue, minValue, maxValue int) int {
	value, ok := r.value(name)
	if !ok {
		return defaultValue
	}
	parsed, err := strconv.Atoi(value)
	switch {
	case err != nil:
		r.ReportInvalid(name, "%q is not a whole number", value)
		return defaultValue
	case parsed < minValue || parsed > maxValue:
		r.ReportInvalid(name, "%d is not between %d and %d", parsed, minValue, maxValue)
		return defaultValue
	}
	return parsed
}

// Line returns the line of a key, or the line of the section if the key is absent.
func (r *Reader) Line(name string) int {
	if key, ok := r.findKey(name); ok {
		return key.Line
	}
	return r.section.Line
}

// List returns the elements of a comma-separated value with surrounding whitespace removed.
func (r *Reader) List(name string) []string {
	value, ok := r.value(name)
	if !ok {
		return nil
	}
	var parts []string
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			r.ReportInvalid(name, "%q contains an empty list element", value)
			continue
		}
		parts = append(parts, part)
	}
	return parts
}

// String returns the value of a key.
func (r *Reader) String(name, defaultValue string) string {
	value, ok := r.value(name)
	if !ok {
		return defaultValue
	}
	return value
}

func (r *Reader) findKey(name string) (Key, bool) {
	for _, key := range r.section.Keys {
		if key.Name == name {
			return key, true
		}
	}
	return Key{}, false
}

// value returns the value of a key and records the request. An empty value counts as absent.
func (r *Reader) value(name string) (string, bool) {
	if !slices.Contains(r.requested, name) {
		r.requested = append(r.requested, name)
	}
	key, ok := r.findKey(name)
	return key.Value, ok && key.Value != ""
}

func suggestValue(value string, values []string) string {
	hint := suggest(value, values)
	if strings.Contains(hint, "known are") {
		return ""
	}
	return hint
}
