package agent

import (
	"fmt"
	"sync"

	"radishpath.example/radishpath/peer/peerpb"
)

// documents keeps the document of the highest revision seen. It never goes back to a lower one.
type documents struct {
	parse    func(text string) (func(zone string) bool, error)
	mu       sync.Mutex
	revision int64
	zoneIn   func(zone string) bool
}

// check refuses when there is no document or the zone is not in service.
func (d *documents) check(zone string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zoneIn == nil {
		return fmt.Errorf("no document yet")
	}
	if !d.zoneIn(zone) {
		return fmt.Errorf("availability zone %q is not in service in revision %d", zone, d.revision)
	}
	return nil
}

func (d *documents) current() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// offer takes a document over if its revision is higher and reports whether it did.
func (d *documents) offer(offered *peerpb.Document) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if offered == nil || (offered.GetRevision() <= d.revision && d.zoneIn != nil) {
		return false, nil
	}
	zoneIn, err := d.parse(offered.GetText())
	if err != nil {
		return false, fmt.Errorf("parse revision %d: %w", offered.GetRevision(), err)
	}
	d.revision = offered.GetRevision()
	d.zoneIn = zoneIn
	return true, nil
}
