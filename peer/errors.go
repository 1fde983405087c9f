package peer

import "errors"

// ErrNotSent means that the request of a call cannot have reached the peer.
var ErrNotSent = errors.New("request not sent")
