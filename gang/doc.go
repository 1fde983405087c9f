// Package gang decides whether all members of a gang job are known to be alive. It does no I/O.
//
// The members form a tree by index: the parent of member m is (m-1)/fanout. Each child sends its parent a heartbeat
// with the age of the oldest liveness signal in its subtree, and the reply carries the age for the whole gang as far
// as the parent knows it. An age is never lower than the time since any member stopped, less the time that
// heartbeats spent in the network, so a member that renews its lease only while the age is below the limit ends soon
// after any other member has stopped. Lost heartbeats only raise the age. A member whose own lease can't be renewed
// counts as stopped since its last renewal.
//
// # Usage
//
//	watch := gang.New(gang.Config{
//		Member:  3,
//		Members: 1024,
//		Fanout:  16,
//		Clock:   clock,
//		Limit:   2 * time.Second,
//	})
//	watch.Renewed(asked, err == nil)      // a renewal of the member's own lease
//	watch.Heard(49, age, failed)          // a heartbeat of a child
//	age, failed := watch.SubtreeAge()     // to send to the parent
//	watch.Verdict(reply+waited, failed)   // the parent's reply, counted from when it was asked
//	age, failed = watch.Age()             // renew while below the limit and not failed
//
// A Watch is safe for concurrent use.
package gang
