package entry

import (
	"slices"
	"time"
)

const (
	// readsLimit is how old the last complete read may be for the log to count as readable.
	readsLimit = 2 * time.Second
	// replyLimit is how old a heartbeat's reply may be to count in the majority of an outage.
	replyLimit = time.Second
	// confirmationLimit is the oldest confirmation worth passing on; agents stop at 3 s.
	confirmationLimit = 3 * time.Second
)

// confirmation says since when the newest document is known to be the newest. It is as old as this entry's last
// complete read of the document stream, or that of a peer. While nobody reads the log, nobody can have published
// through an entry, and a majority of the known entries stands in for the log.
func confirmation(now, read time.Time, peers []member) (asOf time.Time, ok bool) {
	asOf = read
	someoneReads := now.Sub(read) <= readsLimit
	var silentReaders []time.Time
	for _, peer := range peers {
		if peer.reply == nil || now.Sub(peer.asked) > confirmationLimit {
			continue
		}
		if peer.reply.GetReads() {
			someoneReads = true
			if theirs := peer.asked.Add(-peer.reply.GetReadAge().AsDuration()); theirs.After(asOf) {
				asOf = theirs
			}
			continue
		}
		if now.Sub(peer.asked) <= replyLimit {
			silentReaders = append(silentReaders, peer.asked)
		}
	}
	if someoneReads {
		return asOf, now.Sub(asOf) <= confirmationLimit
	}
	return majority(now, silentReaders, len(peers)+1)
}

// majority returns the oldest reply of the most recent majority; this entry counts as a reply of now.
func majority(now time.Time, replies []time.Time, known int) (time.Time, bool) {
	needed := known / 2
	if len(replies) < needed {
		return time.Time{}, false
	}
	if needed == 0 {
		return now, true
	}
	slices.SortFunc(replies, func(a, b time.Time) int { return b.Compare(a) })
	return replies[needed-1], true
}
