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

// lastEpoch returns the epoch under which an entry began to schedule last, empty if it never did.
func (s *suite) lastEpoch(entry *cluster.Process) string {
	s.t.Helper()
	file, err := os.Open(filepath.Join(s.Directory(), entry.Name+".log"))
	require.NoError(s.t, err)
	defer func() { _ = file.Close() }()
	epoch := ""
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := struct {
			Message string `json:"@message"`
			Epoch   int64  `json:"epoch"`
		}{}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "scheduling begins" {
			epoch = strconv.FormatInt(line.Epoch, 10)
		}
	}
	return epoch
}
