package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
)

// marker is the first line of what show prints; publish takes the base from it.
const marker = "# revision "

var markerLine = regexp.MustCompile(`^# revision ([0-9]+)\r?\n`)

// printJSON prints a value on one line.
func (c *Config) printJSON(value any) error {
	if err := json.NewEncoder(c.Stdout).Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func (c *Config) printf(format string, args ...any) error {
	if _, err := fmt.Fprintf(c.Stdout, format, args...); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// readInput reads a file, or the standard input for -.
func (c *Config) readInput(path string) (string, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(c.Stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return "", invalid(fmt.Errorf("read document: %w", err))
	}
	return string(data), nil
}

// splitMarker removes the line that names the revision a text was edited from.
func splitMarker(text string) (body string, base int64, found bool) {
	match := markerLine.FindStringSubmatch(text)
	if match == nil {
		return text, 0, false
	}
	base, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil {
		return text, 0, false
	}
	return text[len(match[0]):], base, true
}
