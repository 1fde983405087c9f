package document

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// maxMembers is the largest gang of the target size.
	maxMembers = 1024
	// maxAccelerators is the width of the bit set that holds a worker's accelerators.
	maxAccelerators = 64
)

// Shape is members x accelerators @ scope: so many members with so many accelerators each, all within one worker, rack
// or zone. The accelerators of one member are always on one worker.
type Shape struct {
	Members      int
	Accelerators int
	Scope        Scope
}

// ParseShape reads for example 2x4@rack.
func ParseShape(text string) (Shape, error) {
	size, place, ok := strings.Cut(text, "@")
	count, each, okSize := strings.Cut(size, "x")
	if !ok || !okSize {
		return Shape{}, fmt.Errorf("%q is no shape; write members x accelerators @ scope, for example 2x4@rack", text)
	}
	members, err := parseCount(count, "members", maxMembers)
	if err != nil {
		return Shape{}, fmt.Errorf("%q: %w", text, err)
	}
	accelerators, err := parseCount(each, "accelerators", maxAccelerators)
	if err != nil {
		return Shape{}, fmt.Errorf("%q: %w", text, err)
	}
	scope, err := ParseScope(strings.TrimSpace(place))
	if err != nil {
		return Shape{}, fmt.Errorf("%q: scope %w", text, err)
	}
	return Shape{
		Members:      members,
		Accelerators: accelerators,
		Scope:        scope,
	}, nil
}

// String returns the shape as ParseShape reads it.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d@%s", s.Members, s.Accelerators, s.Scope)
}

// Total returns the accelerators of all members.
func (s Shape) Total() int {
	return s.Members * s.Accelerators
}

func parseCount(text, what string, most int) (int, error) {
	count, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || count < 1 || count > most {
		return 0, fmt.Errorf("%s must be a whole number between 1 and %d", what, most)
	}
	return count, nil
}
