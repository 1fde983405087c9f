package document

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"radishpath.example/radishpath/cell"
)

// Format generates the text for operations that were published without one, for example by another tool. Plaintext keys
// are replaced by their hashes, so that the text contains no secrets.
func Format(operations cell.Operations) string {
	var b strings.Builder
	defaultService := mostCommonService(operations.Config.Queues)
	if defaultService != "" {
		fmt.Fprintf(&b, "[service]\nname = %s\n", defaultService)
	}
	for _, queue := range operations.Config.Queues {
		writeQueue(&b, queue, defaultService)
	}
	for _, workspace := range operations.Config.Workspaces {
		fmt.Fprintf(&b, "\n[workspace %q]\nguarantee = %d\n", workspace.Name, workspace.Guaranteed)
		if len(workspace.APIKeys) > 0 {
			fmt.Fprintf(&b, "token = %s\n", strings.Join(hashKeys(workspace.APIKeys), ", "))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(operations.EvacuatedZones)) {
		fmt.Fprintf(&b, "\n[zone %q]\nstate = out\n", zone)
	}
	return b.String()
}

func writeQueue(b *strings.Builder, queue cell.Queue, defaultService string) {
	fmt.Fprintf(b, "\n[queue %q]\nhost = %s\nprefix = %s\npriority = %d\nfailures = %d\nstretch = %s\nslack = %s\n",
		queue.Name, queue.Host, queue.Prefix, queue.Priority, queue.MaxFailures,
		strconv.FormatFloat(queue.Stretch, 'g', -1, 64), queue.Slack)
	if queue.Service != defaultService {
		fmt.Fprintf(b, "service = %s\n", queue.Service)
	}
	if queue.Anonymous {
		b.WriteString("anonymous = yes\n")
	}
}

// mostCommonService returns the service that is used by the largest number of queues.
func mostCommonService(queues []cell.Queue) string {
	counts := map[string]int{}
	mostCommon := ""
	for _, queue := range queues {
		counts[queue.Service]++
		if counts[queue.Service] > counts[mostCommon] {
			mostCommon = queue.Service
		}
	}
	return mostCommon
}

func hashKeys(keys []string) []string {
	hashed := make([]string, 0, len(keys))
	for _, key := range keys {
		if !strings.HasPrefix(key, cell.HashPrefix) {
			key = cell.HashKey(key)
		}
		hashed = append(hashed, key)
	}
	return hashed
}
