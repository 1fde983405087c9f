package proof

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/standin/cluster"
)

// lastEpoch returns the epoch in which an entry last became the scheduler, according to its log. It is empty if the
// entry was never the scheduler.
func (h *harness) lastEpoch(entry *cluster.Process) string {
	h.t.Helper()
	file, err := os.Open(filepath.Join(h.Directory(), entry.Name+".log"))
	require.NoError(h.t, err)
	defer func() { _ = file.Close() }()
	epoch := ""
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		record := struct {
			Message string `json:"@message"`
			Epoch   int64  `json:"epoch"`
		}{}
		if json.Unmarshal(scanner.Bytes(), &record) == nil && record.Message == "scheduling begins" {
			epoch = strconv.FormatInt(record.Epoch, 10)
		}
	}
	return epoch
}
