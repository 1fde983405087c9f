package harness_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/proof/harness"
)

// The test binary plays these parts when the variable is set.
const (
	dialVariable   = "HARNESS_TEST_DIAL"
	parentVariable = "HARNESS_TEST_PARENT"
)

func TestMain(m *testing.M) {
	if address := os.Getenv(dialVariable); address != "" {
		dialAndEcho(address)
		return
	}
	if binaries := os.Getenv(parentVariable); binaries != "" {
		startAndWait(binaries)
		return
	}
	os.Exit(harness.Run(m))
}

// dialAndEcho returns to the address what it sends.
func dialAndEcho(address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		panic(err)
	}
	buffer := make([]byte, 100)
	for {
		n, readErr := conn.Read(buffer)
		if readErr != nil {
			return
		}
		if _, err = conn.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// startAndWait starts a log service and prints its process id.
func startAndWait(binaries string) {
	directory, err := os.MkdirTemp("", "harness-parent-")
	if err != nil {
		panic(err)
	}
	log := harness.New(standaloneT{}, harness.Config{
		Clock:     clockwork.NewRealClock(),
		Binaries:  binaries,
		Directory: directory,
	}).StartLog()
	_ = os.RemoveAll(directory)
	fmt.Println(log.PID())
	select {}
}

// standaloneT is a T that never ends.
type standaloneT struct{}

func (standaloneT) Cleanup(func())                    {}
func (standaloneT) Context() context.Context          { return context.Background() }
func (standaloneT) Failed() bool                      { return false }
func (standaloneT) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
func (standaloneT) Helper()                           {}
func (standaloneT) Logf(string, ...any)               {}
func (standaloneT) TempDir() string                   { return os.TempDir() }
