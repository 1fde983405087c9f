package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// placerSilence replaces a silent placer early enough for urgent work to start within 1.3 s.
	placerSilence = 700 * time.Millisecond
	// ownerSilence is longer than placerSilence because adoption costs an append per job.
	ownerSilence = 2 * time.Second
	// pruneSilence drops instances that were replaced from the majority count. It exceeds every partition that
	// is expected while the log stays readable on both sides for so long only by accident.
	pruneSilence = 10 * time.Minute
)

// member is what an entry knows of another one.
type member struct {
	info *peerpb.EntryInfo
	// heard is when the last message from it arrived.
	heard time.Time
	// leaving entries keep their jobs until they hand them over, but take no part in succession.
	leaving bool
	// asked is when the call behind reply was made.
	asked time.Time
	reply *peerpb.Heartbeat
}

// members is the set of known entries, this one excluded.
type members struct {
	mu      sync.Mutex
	self    *peerpb.EntryInfo
	started time.Time
	known   map[string]*member
	// gone holds when an instance was dropped. Peers that have not dropped it yet still name it; without this record
	// the entries would pass it around without end, and publishing and the majority would wait for it.
	gone map[string]time.Time
}

func newMembers(self *peerpb.EntryInfo, started time.Time, seeds []*peerpb.EntryInfo) *members {
	m := &members{
		self:    self,
		started: started,
		known:   map[string]*member{},
		gone:    map[string]time.Time{},
	}
	for _, seed := range seeds {
		m.learn(seed)
	}
	return m
}

// address returns where an entry listens.
func (m *members) address(id string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.known[id]
	if !ok {
		return "", false
	}
	return known.info.GetAddress(), true
}

// isAlive says whether an entry was heard within the limit. Before the process has run for the limit itself, an
// entry that was never heard counts as alive, so that a newcomer does not take over from everybody.
func (m *members) isAlive(id string, now time.Time, limit time.Duration) bool {
	if id == m.self.GetId() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := m.started
	if known, ok := m.known[id]; ok && known.heard.After(heard) {
		heard = known.heard
	}
	return now.Sub(heard) <= limit
}

// learn adds an entry or its new address, unless the entry was dropped and not heard since.
func (m *members) learn(info *peerpb.EntryInfo) {
	if info.GetId() == "" || info.GetId() == m.self.GetId() || info.GetAddress() == "" ||
		info.GetAddress() == m.self.GetAddress() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, gone := m.gone[info.GetId()]; gone {
		return
	}
	known, ok := m.known[info.GetId()]
	if !ok {
		known = &member{}
		m.known[info.GetId()] = known
	}
	known.info = info
}

// heard returns the entries that were heard at least once. Only these are named to other processes: the ids in the
// settings lack the suffix that a process adds to its id at every start.
func (m *members) heard() []*peerpb.EntryInfo {
	var infos []*peerpb.EntryInfo
	for _, known := range m.list() {
		if !known.heard.IsZero() {
			infos = append(infos, known.info)
		}
	}
	return infos
}

// learnNamed adds an entry that another one names, unless its address is known. The address itself tells which instance
// listens there; two entries that named each other the ids of earlier instances would keep them forever.
func (m *members) learnNamed(info *peerpb.EntryInfo) {
	for _, known := range m.list() {
		if known.info.GetAddress() == info.GetAddress() {
			return
		}
	}
	m.learn(info)
}

// list returns the known entries by id.
func (m *members) list() []member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]member, 0, len(m.known))
	for _, known := range m.known {
		all = append(all, *known)
	}
	slices.SortFunc(all, func(a, b member) int {
		return strings.Compare(a.info.GetId(), b.info.GetId())
	})
	return all
}

// observe records a message. asked is zero unless the message answers a call of this process.
func (m *members) observe(beat *peerpb.Heartbeat, asked, now time.Time) {
	m.mu.Lock()
	delete(m.gone, beat.GetSender().GetId())
	m.mu.Unlock()
	m.learn(beat.GetSender())
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.known[beat.GetSender().GetId()]
	if !ok {
		return
	}
	known.heard = now
	known.leaving = beat.GetLeaving()
	if !asked.IsZero() {
		known.asked = asked
		known.reply = beat
	}
}

// isLeaving says whether an entry announced that it shuts down.
func (m *members) isLeaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.known[id]
	return ok && known.leaving
}

// prune drops entries that left, and with silent set also those that were silent for pruneSilence.
func (m *members) prune(now time.Time, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, known := range m.known {
		heard := known.heard
		if heard.Before(m.started) {
			heard = m.started
		}
		age := now.Sub(heard)
		if (known.leaving && age > ownerSilence) || (silent && age > pruneSilence) {
			delete(m.known, id)
			m.gone[id] = now
		}
	}
	for id, dropped := range m.gone {
		if now.Sub(dropped) > pruneSilence {
			delete(m.gone, id)
		}
	}
}

// replace drops an entry whose address answers under another id.
func (m *members) replace(id string, by *peerpb.EntryInfo, now time.Time) {
	m.learn(by)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.known, id)
	m.gone[id] = now
}
