// Package cmd contains the radishpath commands.
//
// # Usage
//
//	os.Exit(cmd.Execute(os.Args[1:]))
package cmd
