package peer

import "errors"

// ErrNotSent marks a call that cannot have reached the peer.
var ErrNotSent = errors.New("request not sent")

// ErrRemote marks a call that the peer answered with an error; the peer did nothing.
var ErrRemote = errors.New("peer returned an error")
