package document

import "fmt"

// Scope is the part of the topology that all accelerators of a shape share. The values equal those of peerpb.Scope.
type Scope int

// The scopes, from the narrowest.
const (
	ScopeWorker Scope = iota + 1
	ScopeRack
	ScopeZone
)

// ParseScope reads worker, rack or zone.
func ParseScope(text string) (Scope, error) {
	for _, scope := range []Scope{ScopeWorker, ScopeRack, ScopeZone} {
		if scope.String() == text {
			return scope, nil
		}
	}
	return 0, fmt.Errorf("%q is not worker, rack or zone", text)
}

// String returns worker, rack or zone.
func (s Scope) String() string {
	switch s {
	case ScopeWorker:
		return "worker"
	case ScopeRack:
		return "rack"
	case ScopeZone:
		return "zone"
	default:
		return "unknown"
	}
}
