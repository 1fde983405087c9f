package cmd

import (
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/settings"
)

// checkResult is the JSON output of check.
type checkResult struct {
	Findings document.Findings `json:"findings"`
	Warnings document.Findings `json:"warnings"`
}

func (c *Config) newCheckCmd() *cobra.Command {
	var kind string
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a document or settings file without publishing it",
		Long: "Check a document or settings file and print all findings, each with file, line, section and key.\n" +
			"Warnings do not change the exit code.\n\n" + exitCodesHelp,
		Example: "  radishpath check document.ini\n" +
			"  radishpath check --kind entry entry.ini",
		Args: exactlyOneArg,
		RunE: func(_ *cobra.Command, args []string) error {
			text, err := c.readInput(args[0])
			if err != nil {
				return err
			}
			result, err := checkText(kind, args[0], text)
			if err != nil {
				return err
			}
			return c.printCheckResult(args[0], result)
		},
	}
	check.Flags().StringVar(&kind, "kind", "document", "document, entry or agent")
	return check
}

func (c *Config) printCheckResult(name string, result checkResult) error {
	if err := c.print(result, "%s", findingsText(name, result)); err != nil {
		return err
	}
	if len(result.Findings) > 0 {
		return &ExitError{
			Code: exitInvalid,
		}
	}
	return nil
}

func findingsText(name string, result checkResult) string {
	var b strings.Builder
	for _, finding := range result.Findings {
		fmt.Fprintf(&b, "%s\n", finding)
	}
	for _, warning := range result.Warnings {
		fmt.Fprintf(&b, "warning: %s\n", warning)
	}
	if len(result.Findings) == 0 {
		fmt.Fprintf(&b, "%s: no faults, %d %s\n", name, len(result.Warnings), plural(len(result.Warnings), "warning"))
	}
	return b.String()
}

// checkText parses a text. Faults are returned in the result; the error is set only for an unknown kind.
func checkText(kind, name, text string) (checkResult, error) {
	result := checkResult{
		Findings: document.Findings{},
		Warnings: document.Findings{},
	}
	var err error
	switch kind {
	case "document":
		var parsed document.Document
		parsed, err = document.Parse(name, []byte(text))
		result.Warnings = append(result.Warnings, parsed.Warnings()...)
	case "entry":
		_, err = settings.ParseEntry(name, []byte(text))
	case "agent":
		_, err = settings.ParseAgent(name, []byte(text))
	default:
		return result, invalidInputError(fmt.Errorf("--kind: %q is not document, entry or agent", kind))
	}
	if errors.As(err, &result.Findings) {
		result.Warnings = document.Findings{}
	}
	return result, nil
}

func plural(count int, word string) string {
	if count == 1 {
		return word
	}
	return word + "s"
}
