package document

import (
	"errors"
	"strings"
)

// CheckHash checks that a text is sha256: and 64 hex digits. The error does not repeat the text, because people put the
// token itself there by mistake.
func CheckHash(text string) error {
	digits, ok := strings.CutPrefix(text, TokenPrefix)
	if !ok {
		return errors.New("is no token hash; write sha256: and the hash of the token, never the token itself")
	}
	if !hexDigits(digits) {
		return errors.New("needs sha256: and 64 hex digits")
	}
	return nil
}
