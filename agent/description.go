package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/peer/peerpb"
)

// describeInterval is how often the worker's shape is read; it changes only when hardware does.
const describeInterval = 10 * time.Second

// description is the worker's shape as last read, with the agent's zone and slots.
type description struct {
	config  Config
	mu      sync.Mutex
	info    *peerpb.WorkerInfo
	version uint64
}

// get returns nil until the worker was read once, and a version that grows with every change.
func (d *description) get() (*peerpb.WorkerInfo, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.info, d.version
}

// read asks the worker. The zone in the settings counts, because the document's zones are about processes' settings.
func (d *description) read(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, d.config.Clock, workerTimeout)
	defer cancel()
	info, err := d.config.Worker.Describe(ctx)
	if err != nil {
		return fmt.Errorf("describe worker: %w", err)
	}
	info, _ = proto.Clone(info).(*peerpb.WorkerInfo)
	if info.GetZone() != d.config.Zone {
		d.config.Logger.Warn("the worker names another availability zone than the settings",
			"worker", info.GetZone(), "settings", d.config.Zone)
	}
	info.Zone = d.config.Zone
	info.Slots = int32(d.config.Slots) //nolint:gosec // at most DefaultSlots.
	d.mu.Lock()
	defer d.mu.Unlock()
	if !proto.Equal(info, d.info) {
		d.info = info
		d.version++
	}
	return nil
}
