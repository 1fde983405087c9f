// Package peerpb holds the generated messages of the protocol between radishpath's processes and the records of the
// job and document streams.
//
// # Usage
//
// Edit peer.proto and run make generate; the generated code is committed.
package peerpb
