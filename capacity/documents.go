package main

import (
	"fmt"
	"strings"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/operator"
)

const (
	// callerToken belongs to the first workspace.
	callerToken = "capacity-caller"
	// smallDocument and largeDocument are numbers of workspaces; the large one is that of the target size.
	smallDocument = 4
	largeDocument = 640
)

// documentText returns a document; the variant makes every text different, as an edit does.
func documentText(workspaces, variant int) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "[service]\nname = capacity\n\n[zone %q]\nstate = in\ndrain = checkpoint\n\n", zone)
	for workspace := range workspaces {
		token := document.HashToken(callerToken)
		if workspace > 0 {
			token = document.HashToken(fmt.Sprintf("%s-%d", callerToken, workspace))
		}
		_, _ = fmt.Fprintf(&text, "[workspace \"team-%d\"]\nshare = %d\nqueue = 100000\nrate = 10000\nreclaim = 10s\n"+
			"token = %s\n\n", workspace, 1+variant%100, token)
	}
	return text.String()
}

// publish publishes a text over the current revision.
func (s *study) publish(client *operator.Client, text string) error {
	current, err := client.Document(s.Context())
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	result, err := client.Publish(s.Context(), operator.PublishRequest{
		Base: current.Revision,
		Text: text,
	})
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	if !result.Applied {
		return fmt.Errorf("publish: %s", result.Reason)
	}
	return nil
}
