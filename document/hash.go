package document

import (
	"encoding/hex"
	"errors"
	"strings"

	"radishpath.example/radishpath/cell"
)

const tokenHashBytes = 32

// ValidateTokenHash checks that tokenHash is sha256: followed by 64 hex digits. The error does not contain the value,
// because it may be a plaintext token entered by mistake.
func ValidateTokenHash(tokenHash string) error {
	digits, ok := strings.CutPrefix(tokenHash, cell.HashPrefix)
	if !ok {
		return errors.New("is not a token hash; write sha256: and the hash of the token, never the token itself")
	}
	decoded, err := hex.DecodeString(digits)
	if err != nil || len(decoded) != tokenHashBytes {
		return errors.New("must be sha256: followed by 64 hex digits")
	}
	return nil
}
