package caller

import (
	"encoding/hex"

	"github.com/google/uuid"
)

// NewID returns a random id for a job.
func NewID() string {
	id := uuid.New()
	const idBytes = idHexDigits / 2
	return hex.EncodeToString(id[:idBytes])
}
