// Command standin runs the test servers that take the place of the platform's log, its workers and the backend
// servers. It never ships.
//
// # Usage
//
//	standin log --listen 127.0.0.1:7100
//	standin worker --listen 127.0.0.1:7200 --id w1 --zone suva --rack r1
//
// Both print "listening on ADDRESS" on standard output once they accept connections, so that port 0 can be used.
package main

import (
	"os"

	"github.com/jonboulle/clockwork"
)

func main() {
	config := &config{
		clock:  clockwork.NewRealClock(),
		stdout: os.Stdout,
		stderr: os.Stderr,
	}
	os.Exit(config.execute(os.Args[1:]))
}
