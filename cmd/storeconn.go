package cmd

import (
	"context"
	"errors"
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

// storeConn is an operator's command's way to the store and to the entries.
type storeConn struct {
	publisher *operator.Publisher
	effect    *operator.RolloutWaiter
	cell      *platform.Topic
	pool      *peer.Pool
}

func (c *Config) newStoreConn() (*storeConn, error) {
	from := settings.TLSSettings{}
	if c.credentials != "" {
		read, err := settings.ReadTLS(settings.OSFileSystem{}, c.credentials)
		if err != nil {
			return nil, invalid(err)
		}
		from = read
	}
	loaded, err := newCredentials(from)
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(platform.StoreConfig{
		Address: c.store,
	})
	conn := &storeConn{
		cell: store.Topic(cellTopic),
		pool: peer.NewPool(peer.PoolConfig{
			Clock: c.Clock,
			TLS:   loaded.client,
		}),
	}
	conn.publisher = operator.NewPublisher(operator.PublisherConfig{
		Logger:        hclog.New(&hclog.LoggerOptions{Output: c.Stderr}),
		Clock:         c.Clock,
		Author:        author(),
		Operations:    logOf(store.Operations()),
		Documents:     logOf(store.Topic(documentTopic)),
		ApplyEntry:    platform.ApplyOperation,
		EncodeChanges: platform.OperationEntries,
	})
	conn.effect = operator.NewRolloutWaiter(operator.RolloutWaiterConfig{
		Clock:      c.Clock,
		Entries:    conn.entries,
		NextOffset: conn.followed,
	})
	return conn, nil
}

// withStore runs a command that needs the store.
func (c *Config) withStore(run func(conn *storeConn) error) error {
	conn, err := c.newStoreConn()
	if err != nil {
		return err
	}
	defer conn.pool.Close()
	return run(conn)
}

// state returns the fold of the cell's log.
func (s *storeConn) state(ctx context.Context) (*cell.State, error) {
	page, err := s.cell.Newest(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the cell: %w", err)
	}
	state := cell.NewState()
	for _, entry := range page.Entries {
		if _, applyErr := state.Apply(entry); applyErr != nil {
			err = errors.Join(err, applyErr)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("read the cell: %w", err)
	}
	return state, nil
}

func (s *storeConn) entries(ctx context.Context) (map[string]string, error) {
	state, err := s.state(ctx)
	if err != nil {
		return nil, err
	}
	return state.Members(), nil
}

func (s *storeConn) followed(ctx context.Context, address string) (int64, error) {
	reply := &cellpb.Reply{}
	request := &cellpb.Request{
		Body: &cellpb.Request_Ask{
			Ask: &cellpb.Ask{},
		},
	}
	if err := s.pool.Exchange(ctx, address, request, reply); err != nil {
		return 0, fmt.Errorf("ask %s: %w", address, err)
	}
	return reply.GetOperations(), nil
}

func logOf(topic *platform.Topic) operator.KeyedLog {
	return operator.KeyedLog{
		Newest: topic.Newest,
		Append: topic.Append,
	}
}

// author is who publishes, as the machine knows them.
func author() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
