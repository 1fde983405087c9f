// Command standin runs the test servers that take the place of the platform's log, its workers and the backend
// servers. It never ships.
//
// # Usage
//
//	standin log --listen 127.0.0.1:7100
//	standin worker --listen 127.0.0.1:7200
package main

import "os"

func main() {
	os.Exit(1)
}
