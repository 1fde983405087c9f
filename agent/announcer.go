package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// announceInterval lets six heartbeats in a row get lost before an agent is no longer used for placement.
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	// maxEntries bounds the entries that are announced to.
	maxEntries = 16
	// entryLimit is how long an entry that no reply names and that doesn't reply itself is kept.
	entryLimit = 30 * time.Second
)

// announcer sends heartbeats to all entries and learns document, freshness, term and entries from the replies.
type announcer struct {
	config    Config
	boot      string
	address   string
	worker    *description
	gate      *gate
	documents *documents
	freshness *freshness
	holds     *holds
	answers   *answers
	slots     *slots
	logger    hclog.Logger
	group     *group
	mu        sync.Mutex
	entries   map[string]*entryLink
	// ended counts the changes to the set of unacknowledged results.
	ended uint64
}

// entryLink is what is known of one entry.
type entryLink struct {
	address string
	// configured entries are kept for good.
	configured bool
	named      time.Time
	cancel     context.CancelFunc
	// full is the change that the entry has seen in full.
	full   uint64
	synced bool
}

// addresses returns the entries that are announced to.
func (a *announcer) addresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	addresses := make([]string, 0, len(a.entries))
	for address := range a.entries {
		addresses = append(addresses, address)
	}
	return addresses
}

// announce sends one heartbeat to an entry and takes over its reply.
func (a *announcer) announce(ctx context.Context, link *entryLink) error {
	message := a.message(link)
	asked := a.config.Clock.Now()
	callCtx, cancel := clockwork.WithTimeout(ctx, a.config.Clock, announceTimeout)
	defer cancel()
	reply, err := a.config.Peers.Call(callCtx, link.address, &peerpb.Request{
		Kind: &peerpb.Request_Announce{
			Announce: message,
		},
	})
	if err != nil {
		a.expire(link)
		return fmt.Errorf("announce to %s: %w", link.address, err)
	}
	a.learn(link, message, asked, reply.GetAnnounce())
	return nil
}

// changed makes the next heartbeats full.
func (a *announcer) changed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended++
}

// start announces to the configured entries until the group ends.
func (a *announcer) start() {
	for _, address := range a.config.Entries {
		a.add(address, true)
	}
}

func (a *announcer) add(address string, configured bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if link, ok := a.entries[address]; ok {
		link.named = a.config.Clock.Now()
		return
	}
	if address == "" || len(a.entries) >= maxEntries {
		return
	}
	link := &entryLink{
		address:    address,
		configured: configured,
		named:      a.config.Clock.Now(),
	}
	a.entries[address] = link
	a.group.run(func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		a.mu.Lock()
		link.cancel = cancel
		a.mu.Unlock()
		a.follow(ctx, link)
	})
}

// expire drops a learned entry that has been silent and unnamed for entryLimit.
func (a *announcer) expire(link *entryLink) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if link.configured || a.config.Clock.Since(link.named) < entryLimit {
		return
	}
	delete(a.entries, link.address)
	a.config.Peers.Forget(link.address)
	if link.cancel != nil {
		link.cancel()
	}
	a.logger.Info("entry dropped", "address", link.address)
}

// follow announces at the interval, also after errors: the pool backs off, and an entry that returns must hear of
// the agent quickly.
func (a *announcer) follow(ctx context.Context, link *entryLink) {
	failing := false
	for ctx.Err() == nil {
		err := a.announce(ctx, link)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			a.logger.Info("entry state changed", "address", link.address, "error", err)
		}
		_ = sleep(ctx, a.config.Clock, jitter(announceInterval))
	}
}

// learn takes over a reply. A confirmation counts only if the agent has the document that it is about.
func (a *announcer) learn(link *entryLink, sent *peerpb.Announce, asked time.Time, reply *peerpb.AnnounceReply) {
	if reply == nil {
		return
	}
	a.holds.follow(reply.GetTerm())
	taken, err := a.documents.offer(reply.GetDocument())
	if err != nil {
		a.logger.Error("document refused", "entry", link.address, "error", err)
	}
	if taken {
		a.logger.Info("document in effect", "revision", reply.GetDocument().GetRevision())
	}
	if reply.GetConfirmed() && err == nil {
		a.freshness.confirm(asked, reply.GetAge().AsDuration())
	}
	for _, entry := range reply.GetEntries() {
		a.add(entry.GetAddress(), false)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	link.named = a.config.Clock.Now()
	if sent.GetFull() {
		link.synced = true
		link.full = sent.GetChange()
	}
	if reply.GetResend() {
		link.synced = false
	}
}

// message returns the short form of the heartbeat unless something changed since the entry's last full one.
func (a *announcer) message(link *entryLink) *peerpb.Announce {
	now := a.config.Clock.Now()
	change, term := a.holds.version(now)
	all, large := a.slots.outstanding()
	info, version := a.worker.get()
	a.mu.Lock()
	change += a.ended + version
	full := !link.synced || link.full != change
	a.mu.Unlock()
	message := &peerpb.Announce{
		Agent:            a.config.ID,
		Address:          a.address,
		Boot:             a.boot,
		Change:           change,
		Full:             full,
		Leaving:          a.gate.unavailable(),
		Outstanding:      all,
		OutstandingLarge: large,
		Revision:         a.documents.current(),
		Term:             term,
	}
	if !full {
		return message
	}
	message.Worker = info
	message.Tasks, _, _ = a.holds.snapshot(now)
	for _, r := range a.answers.list() {
		if !r.request {
			message.Tasks = append(message.Tasks, r.info())
		}
	}
	return message
}

func (r result) info() *peerpb.TaskInfo {
	return &peerpb.TaskInfo{
		Job:     r.key.job,
		Attempt: r.key.attempt.message(),
		Member:  r.key.member,
		Ended:   true,
	}
}
