package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
)

// revisionHeaderPrefix starts the first line of the output of show. Publish reads the base revision from that line.
const revisionHeaderPrefix = "# revision "

var revisionHeader = regexp.MustCompile(`^# revision ([0-9]+)\r?\n`)

// print prints a result: value with --output json, otherwise the formatted text.
func (c *Config) print(value any, format string, args ...any) error {
	if c.output == "json" {
		return c.printJSON(value)
	}
	return c.printf(format, args...)
}

// printJSON prints a value as a single line of JSON.
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

// readInput reads a file, or standard input if path is "-".
func (c *Config) readInput(path string) (string, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(c.Stdin)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return "", invalidInputError(fmt.Errorf("read input: %w", err))
	}
	return string(data), nil
}

// splitRevisionHeader removes the first line if it contains the base revision.
func splitRevisionHeader(text string) (body string, base int64, found bool) {
	match := revisionHeader.FindStringSubmatch(text)
	if match == nil {
		return text, 0, false
	}
	base, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil {
		return text, 0, false
	}
	return text[len(match[0]):], base, true
}
