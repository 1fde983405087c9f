package cluster

import (
	"fmt"
	"strings"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/platform"
)

// MaxFailures is the number of failed runs of a task, or of a gang, after which its job fails.
const MaxFailures = 2

// DocumentConfig configures the text that DocumentText returns.
type DocumentConfig struct {
	// Guarantee is the number of accelerators that are guaranteed to the workspace.
	Guarantee int
	// APIKeys are the keys of the workspace's callers; empty means the default key.
	APIKeys []string
	// EvacuatedZones are the availability zones that are out of service.
	EvacuatedZones []string
}

// DocumentText returns the text of a document with a service, a queue for ordinary jobs, a queue for urgent jobs and a
// workspace.
func DocumentText(config DocumentConfig) string {
	if len(config.APIKeys) == 0 {
		config.APIKeys = []string{APIKey}
	}
	var hashes []string
	for _, key := range config.APIKeys {
		hashes = append(hashes, cell.HashKey(key))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[service]\nname = %s\n\n", serviceName)
	fmt.Fprintf(&text, "[queue \"quotes\"]\nhost = %s\npriority = 1\nfailures = %d\n\n", Host, MaxFailures)
	fmt.Fprintf(&text, "[queue \"urgent\"]\nhost = %s\npriority = 0\nfailures = %d\nstretch = 1.5\n\n", Host,
		MaxFailures)
	fmt.Fprintf(&text, "[workspace \"weddings\"]\nguarantee = %d\ntoken = %s\n", config.Guarantee,
		strings.Join(hashes, ", "))
	for _, zone := range config.EvacuatedZones {
		fmt.Fprintf(&text, "\n[zone %q]\nstate = out\n", zone)
	}
	return text.String()
}

// Publish publishes a document under a revision by appending it to the operators' log.
func (c *Cluster) Publish(revision int64, text string) error {
	parsedDocument, err := document.Parse("document", []byte(text))
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	records, err := platform.DiffOperations(c.Store.Operations(), parsedDocument.Operations(revision))
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	for _, record := range records {
		c.Store.AppendOperation(record.Key, record.Value)
	}
	return nil
}
