package connlimit

import "errors"

// ErrBusy means that a request was given up because too many bytes are held for requests.
var ErrBusy = errors.New("too many requests at the same time; nothing was accepted")

var (
	errTooLarge   = errors.New("the body is too large; nothing was accepted")
	errUnfinished = errors.New("the body ended early; nothing was accepted")
)
