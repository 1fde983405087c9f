package settings

import (
	"fmt"
	"os"
	"time"
)

// FileSystem provides access to files.
type FileSystem interface {
	// LastModified returns the modification time of a file.
	LastModified(path string) (time.Time, error)
	ReadFile(path string) ([]byte, error)
}

// OSFileSystem is the FileSystem of the operating system.
type OSFileSystem struct{}

// NewOSFileSystem returns an OSFileSystem.
func NewOSFileSystem() OSFileSystem {
	return OSFileSystem{}
}

// LastModified implements FileSystem.
func (OSFileSystem) LastModified(path string) (time.Time, error) {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}, fmt.Errorf("stat file: %w", err)
	}
	return info.ModTime(), nil
}

// ReadFile implements FileSystem.
func (OSFileSystem) ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return data, nil
}
