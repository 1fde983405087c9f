// Package cmd holds radishpath's commands, one file each, and the configuration that they share.
//
// # Usage
//
//	os.Exit(cmd.Execute(os.Args[1:]))
package cmd
