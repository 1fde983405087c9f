package cell

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// HashPrefix marks a stored key as a hash.
const HashPrefix = "sha256:"

// HashKey returns the hash of a caller's key in the form used in documents.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return HashPrefix + hex.EncodeToString(sum[:])
}

// keyMatches reports whether a caller's key matches a stored key, which is either the key itself or its hash. A hash
// isn't accepted as a caller's key.
func keyMatches(storedKey, key, hash string) bool {
	if strings.HasPrefix(storedKey, HashPrefix) {
		return subtle.ConstantTimeCompare([]byte(storedKey), []byte(hash)) == 1
	}
	return subtle.ConstantTimeCompare([]byte(storedKey), []byte(key)) == 1
}
