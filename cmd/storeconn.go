package cmd

import (
	"context"
	"fmt"
	"os/user"

	"github.com/hashicorp/go-hclog"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/platform"
	"radishpath.example/radishpath/settings"
)

// storeConn provides operator commands with access to the store and the entries.
type storeConn struct {
	logger    hclog.Logger
	publisher *operator.Publisher
	rollout   *operator.RolloutWaiter
	cell      *platform.Topic
	pool      *peer.Pool
}

func (c *Config) newStoreConn() (*storeConn, error) {
	tlsSettings := settings.TLSSettings{}
	if c.credentials != "" {
		fileSettings, err := settings.ReadTLS(settings.OSFileSystem{}, c.credentials)
		if err != nil {
			return nil, invalidInputError(err)
		}
		tlsSettings = fileSettings
	}
	loadedTLS, err := loadTLSConfigs(tlsSettings)
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(platform.StoreConfig{
		Address: c.store,
	})
	logger := hclog.New(&hclog.LoggerOptions{
		Output: c.Stderr,
	})
	conn := &storeConn{
		logger: logger,
		cell:   store.Topic(cellTopic),
		pool: peer.NewPool(peer.PoolConfig{
			Clock: c.Clock,
			TLS:   loadedTLS.client,
		}),
	}
	conn.publisher = operator.NewPublisher(operator.PublisherConfig{
		Logger:      logger,
		Clock:       c.Clock,
		Author:      currentUsername(),
		Operations:  newKeyedLog(store.Operations()),
		Documents:   newKeyedLog(store.Topic(documentTopic)),
		ApplyRecord: platform.ApplyOperation,
		DiffRecords: platform.DiffOperations,
	})
	conn.rollout = operator.NewRolloutWaiter(operator.RolloutWaiterConfig{
		Clock:      c.Clock,
		Entries:    conn.entryAddresses,
		NextOffset: conn.nextOperationsOffset,
	})
	return conn, nil
}

// withStore calls run with a connection to the store.
func (c *Config) withStore(run func(conn *storeConn) error) error {
	conn, err := c.newStoreConn()
	if err != nil {
		return err
	}
	defer conn.pool.Close()
	return run(conn)
}

// cellState reads the cell's log and returns the resulting state, and the keys of entries whose records are invalid.
func (s *storeConn) cellState(ctx context.Context) (state *cell.State, invalidMembers []string, err error) {
	page, err := s.cell.ReadLatest(ctx)
	if err != nil {
		return nil, nil, fmt.Errorf("read cell state: %w", err)
	}
	state = cell.NewState()
	for _, record := range page.Records {
		if _, applyErr := state.Apply(record); applyErr != nil {
			// Entries skip such a record as well.
			s.logger.Warn("skipping invalid record in cell log", "key", record.Key, "offset", record.Offset,
				"error", applyErr)
			if cell.IsMemberKey(record.Key) {
				invalidMembers = append(invalidMembers, record.Key)
			}
		}
	}
	return state, invalidMembers, nil
}

// entryAddresses returns the addresses of all entries by id. An entry whose record is invalid is listed by its key
// without an address: without it, a publish could be reported as in effect at all entries although it isn't.
func (s *storeConn) entryAddresses(ctx context.Context) (map[string]string, error) {
	cellState, invalidMembers, err := s.cellState(ctx)
	if err != nil {
		return nil, err
	}
	addresses := cellState.Members()
	for _, key := range invalidMembers {
		addresses[key] = ""
	}
	return addresses, nil
}

func (s *storeConn) nextOperationsOffset(ctx context.Context, address string) (int64, error) {
	reply := &cellpb.Reply{}
	request := &cellpb.Request{
		Body: &cellpb.Request_Ask{
			Ask: &cellpb.Ask{},
		},
	}
	if err := s.pool.Call(ctx, address, request, reply); err != nil {
		return 0, fmt.Errorf("query entry at %s: %w", address, err)
	}
	return reply.GetOperations(), nil
}

func newKeyedLog(topic *platform.Topic) operator.KeyedLog {
	return operator.KeyedLog{
		ReadLatest: topic.ReadLatest,
		Append:     topic.Append,
	}
}

// currentUsername returns the name of the current OS user, which is recorded as the author of a publish.
func currentUsername() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
