package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

const hashPrefix = "sha256:"

// Tokens maps the hashes of bearer tokens to workspaces.
type Tokens struct {
	tokens []token
}

type token struct {
	hash      []byte
	workspace string
}

// NewTokens returns Tokens from each workspace's hashes, written as sha256:<hex>. Others never match.
func NewTokens(hashes map[string][]string) Tokens {
	var t Tokens
	for workspace, list := range hashes {
		for _, text := range list {
			hash, err := hex.DecodeString(strings.TrimPrefix(text, hashPrefix))
			if err != nil || len(hash) != sha256.Size {
				continue
			}
			t.tokens = append(t.tokens, token{
				hash:      hash,
				workspace: workspace,
			})
		}
	}
	return t
}

// Authenticate returns the workspace of a token. It compares with every hash in constant time.
func (t Tokens) Authenticate(secret string) (string, bool) {
	hash := sha256.Sum256([]byte(secret))
	var workspace string
	var found bool
	for _, candidate := range t.tokens {
		if subtle.ConstantTimeCompare(candidate.hash, hash[:]) == 1 {
			workspace, found = candidate.workspace, true
		}
	}
	return workspace, found && secret != ""
}
