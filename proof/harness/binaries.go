package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

const modulePath = "radishpath.example/radishpath"

// built is the directory of the binaries that this test process built.
//
//nolint:gochecknoglobals // one build per test process needs state of the process.
var built struct {
	sync.Mutex
	directory string
}

// Run runs the tests, removes the binaries that they built, and returns the exit code. TestMain calls it.
func Run(m interface{ Run() int }) int {
	code := m.Run()
	built.Lock()
	defer built.Unlock()
	if built.directory != "" {
		_ = os.RemoveAll(built.directory)
	}
	return code
}

// build returns the directory of the binaries radishpath and standin, which it builds on its first call.
func build(ctx context.Context) (string, error) {
	built.Lock()
	defer built.Unlock()
	if built.directory != "" {
		return built.directory, nil
	}
	directory, err := os.MkdirTemp("", "radishpath-proof-")
	if err != nil {
		return "", fmt.Errorf("make directory for binaries: %w", err)
	}
	for name, path := range map[string]string{
		"radishpath": modulePath,
		"standin":    modulePath + "/standin",
	} {
		output, buildErr := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(directory, name), path).
			CombinedOutput()
		if buildErr != nil {
			_ = os.RemoveAll(directory)
			return "", fmt.Errorf("build %s: %w\n%s", name, buildErr, output)
		}
	}
	built.directory = directory
	return directory, nil
}
