package settings

import (
	"fmt"
	"os"
	"time"
)

// System is what settings needs of the operating system.
type System interface {
	// Modified returns when a file was last changed.
	Modified(path string) (time.Time, error)
	ReadFile(path string) ([]byte, error)
}

// RealSystem is the System of the running machine.
type RealSystem struct{}

// NewRealSystem returns a RealSystem.
func NewRealSystem() RealSystem {
	return RealSystem{}
}

// Modified implements System.
func (RealSystem) Modified(path string) (time.Time, error) {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}, fmt.Errorf("look at file: %w", err)
	}
	return info.ModTime(), nil
}

// ReadFile implements System.
func (RealSystem) ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return data, nil
}
