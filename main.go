// Command radishpath schedules multi-accelerator jobs and small requests under workspace guarantees.
//
// # Usage
//
//	radishpath entry --settings entry.ini
//	radishpath agent --settings agent.ini
//	radishpath submit --help
package main

import (
	"os"

	"radishpath.example/radishpath/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:]))
}
