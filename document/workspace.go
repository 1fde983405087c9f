package document

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"
)

// TokenPrefix starts the text of a token's hash.
const TokenPrefix = "sha256:"

// Workspace is a tenant with its share, guarantees and limits.
type Workspace struct {
	Name string
	// Share is the weight of the workspace against the others.
	Share      int
	Guarantees []Shape
	// Queue is the number of jobs that may wait.
	Queue int
	// Rate is the number of submissions per second.
	Rate int
	// Reclaim is how long borrowed work has to checkpoint when the workspace needs its guarantee.
	Reclaim time.Duration
	// Tokens are the hashes of the tokens of callers, each sha256:<64 lower-case hex digits>.
	Tokens []string
	// Line is where the workspace's section starts, GuaranteeLine where its guarantees are.
	Line          int
	GuaranteeLine int
}

// HashToken returns the hash of a token as it stands in documents and settings.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return TokenPrefix + hex.EncodeToString(sum[:])
}

// Accepts reports whether a caller's token belongs to the workspace. The comparison takes the same time for every
// token of the same workspace.
func (w Workspace) Accepts(token string) bool {
	hash := []byte(HashToken(token))
	found := 0
	for _, known := range w.Tokens {
		found |= subtle.ConstantTimeCompare(hash, []byte(known))
	}
	return found == 1
}
