package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/peer/peerpb"
)

// TestAnnounceForms guards against full heartbeats all the time, which would exceed 3 KB/s, and against entries that
// miss a change.
func TestAnnounceForms(t *testing.T) {
	bubble(t, func(s *system, a *Agent, _ *fakeWorker, _ *fakeBackend) {
		s.clock.Sleep(2 * time.Second)
		require.False(t, s.lastAnnounce().GetFull())
		require.True(t, s.hold(a, holdOf("job", 1, 0, 1, 1)).GetOk())
		s.mu.Lock()
		before := len(s.announces)
		s.mu.Unlock()
		s.clock.Sleep(2 * time.Second)
		s.mu.Lock()
		after := s.announces[before:]
		s.mu.Unlock()
		require.True(t, after[0].GetFull())
		require.True(t, after[0].GetTasks()[0].GetHold())
		require.False(t, after[1].GetFull())
		s.clock.Sleep(maxHold)
		s.setAnnounced(func(*peerpb.Announce) *peerpb.AnnounceReply {
			reply := confirmation(1, "in", 0)
			reply.Resend = true
			return reply
		})
		s.clock.Sleep(2 * time.Second)
		require.True(t, s.lastAnnounce().GetFull(), "an entry that was restarted asks for everything")
		require.Empty(t, s.lastAnnounce().GetTasks(), "the hold has lapsed")
	})
}

// TestDocumentNeverGoesBack guards against an entry with an old document that reverts a newer one (invariant 9).
func TestDocumentNeverGoesBack(t *testing.T) {
	bubble(t, func(s *system, a *Agent, _ *fakeWorker, _ *fakeBackend) {
		s.setAnnounced(func(*peerpb.Announce) *peerpb.AnnounceReply { return confirmation(5, "out", 0) })
		s.clock.Sleep(time.Second)
		s.setAnnounced(func(*peerpb.Announce) *peerpb.AnnounceReply { return confirmation(4, "in", 0) })
		s.clock.Sleep(time.Second)
		require.Equal(t, int64(5), s.lastAnnounce().GetRevision())
		require.Error(t, a.gate.check())
	})
}

// TestEntriesLearned guards against agents that know only the entries of their settings, which may all be replaced,
// and against entries that are kept for ever.
func TestEntriesLearned(t *testing.T) {
	bubble(t, func(s *system, a *Agent, _ *fakeWorker, _ *fakeBackend) {
		s.setAnnounced(func(*peerpb.Announce) *peerpb.AnnounceReply {
			reply := confirmation(1, "in", 0)
			reply.Entries = []*peerpb.EntryInfo{
				{
					Id:      "second",
					Address: "second",
				},
			}
			return reply
		})
		s.clock.Sleep(time.Second)
		require.ElementsMatch(t, []string{entryAddress, "second"}, a.announcer.addresses())
		s.setAnnounced(func(*peerpb.Announce) *peerpb.AnnounceReply { return confirmation(1, "in", 0) })
		s.clock.Sleep(entryLimit + time.Second)
		require.Equal(t, []string{entryAddress}, a.announcer.addresses())
	})
}

// TestReportFollowsOwner guards against results that never reach the owner of their job.
func TestReportFollowsOwner(t *testing.T) {
	bubble(t, func(s *system, a *Agent, w *fakeWorker, _ *fakeBackend) {
		s.mu.Lock()
		var asked []string
		s.reported = func(address string, _ *peerpb.Report) *peerpb.ReportReply {
			asked = append(asked, address)
			return &peerpb.ReportReply{
				Accepted: address == ownerAddress,
				Owner: &peerpb.EntryInfo{
					Address: ownerAddress,
				},
			}
		}
		s.mu.Unlock()
		s.prepare(a)
		require.True(t, s.startTask(a, "job", 0).GetOk())
		require.NoError(t, w.finish("job.7.1.0", StateDone, "answer"))
		s.clock.Sleep(10 * time.Second)
		s.mu.Lock()
		require.Equal(t, []string{entryAddress, ownerAddress, ownerAddress}, asked[:3])
		s.reported = func(string, *peerpb.Report) *peerpb.ReportReply {
			return &peerpb.ReportReply{
				Drop: true,
			}
		}
		s.mu.Unlock()
		s.clock.Sleep(10 * time.Second)
		require.Empty(t, a.answers.list(), "dropped when the attempt no longer counts")
	})
}
