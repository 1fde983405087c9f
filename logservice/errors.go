package logservice

import (
	"errors"

	"radishpath.example/radishpath/rest"
)

// ErrRejected marks a call that was definitely not carried out.
var ErrRejected = rest.ErrRejected

// ErrExists marks a start of a task whose id the worker already knows: an earlier start took effect.
var ErrExists = errors.New("task exists")
