package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/caller"
	"radishpath.example/radishpath/caller/callerclient"
)

func (c *Config) newSubmitCmd() *cobra.Command {
	var described jobFlags
	var id string
	var wait time.Duration
	submit := &cobra.Command{
		Use:   "submit [PAYLOAD]",
		Short: "Submit a job",
		Long: "Submit a job. The payload is the argument, or standard input for -. Without --id the command generates an " +
			"id and prints it. Submitting again with the same id never runs a job twice.\n\n" + exitCodesHelp,
		Example: `  radishpath submit --queue quotes --wait 30s '{"work":"20ms"}'` + "\n" +
			`  radishpath submit --members 2 --accelerators 4 --scope rack --checkpointable --declared 10m - < render.json`,
		Args: atMostArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			submission := described.submission()
			submission.ID = id
			if submission.ID == "" {
				submission.ID = caller.NewID()
			}
			if len(args) == 1 {
				payload, err := c.readPayload(args[0])
				if err != nil {
					return err
				}
				submission.Payload = payload
			}
			job, err := c.callerClient().Submit(cmd.Context(), submission, wait)
			if err != nil {
				return submitError(submission.ID, err)
			}
			return c.reportJob(job, wait > 0)
		},
	}
	described.add(submit)
	flags := submit.Flags()
	flags.StringVar(&id, "id", "", "job id of 16 hexadecimal digits (default: generated)")
	flags.DurationVar(&wait, "wait", 0, "how long to wait until the job has ended")
	return submit
}

// readPayload returns the argument, or standard input for "-". Text that is not valid JSON is encoded as a JSON string.
func (c *Config) readPayload(argument string) (json.RawMessage, error) {
	text := argument
	if argument == "-" {
		input, err := c.readInput("-")
		if err != nil {
			return nil, err
		}
		text = input
	}
	if json.Valid([]byte(text)) {
		return json.RawMessage(text), nil
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return nil, fmt.Errorf("encode payload: %w", err)
	}
	return quoted, nil
}

// callError adds the exit code to the error of a call that was rejected or changes nothing.
func callError(err error) error {
	var callErr *callerclient.Error
	if errors.As(err, &callErr) && len(callErr.Findings) > 0 {
		return invalidInputError(err)
	}
	return err
}

// submitError adds the exit code to the error of a failed submission. Once the call was sent, only a reply proves that
// the job was not accepted.
func submitError(id string, err error) error {
	if isDialError(err) {
		return fmt.Errorf("nothing was submitted: %w", err)
	}
	var callErr *callerclient.Error
	if !errors.As(err, &callErr) || callErr.OutcomeUnknown() {
		return &ExitError{
			Code: exitUnknown,
			Err: fmt.Errorf("%w\nwhether the job was accepted is unknown; run radishpath status %s, "+
				"or submit again with --id %s", err, id, id),
		}
	}
	return callError(err)
}
