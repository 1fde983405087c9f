// Package untrusted tests the radishpath programs as separate processes against clients that nobody controls: they send
// heads, bodies and messages without end or nothing at all, on every address on which a process listens. The processes
// have little memory and few descriptors, so that a small crowd shows what a large one would do. The tests check what
// doesn't depend on the speed of the machine: that the process lives, that its memory and descriptors stay under their
// bounds, and that an ordinary job is served afterwards. They run one at a time.
//
// # Usage
//
//	go test -p 1 ./untrusted
package untrusted
