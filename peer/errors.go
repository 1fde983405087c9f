package peer

import "errors"

// ErrNotSent means that the request of a call cannot have reached the peer.
var ErrNotSent = errors.New("request not sent")

// errLimit means that a request was given up because of a limit or before its end. Its session is closed.
var errLimit = errors.New("request given up")
