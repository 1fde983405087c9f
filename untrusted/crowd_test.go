package untrusted

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// crowdSize is the number of clients of a crowd, crowdTime how long they stay.
	crowdSize = 300
	crowdTime = 6 * time.Second
	// chunkBytes is what a client sends between two pauses, whose length is sendPause.
	chunkBytes = 64 << 10
	sendPause  = 20 * time.Millisecond
	// reconnectPause is how long a client waits whose connection was closed.
	reconnectPause = 100 * time.Millisecond
)

// script says what a client of a crowd sends on each connection.
type script struct {
	// opening is sent at once.
	opening []byte
	// repeated is sent again and again, until limit bytes are sent; a limit of 0 means without end.
	repeated []byte
	limit    int
}

// crowd is a number of clients that send the same.
type crowd struct {
	clock   clockwork.Clock
	address string
	script  script
}

// run lets the clients connect again and again until crowdTime is over.
func (c crowd) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	var clients sync.WaitGroup
	for range crowdSize {
		clients.Go(func() {
			for ctx.Err() == nil {
				c.connect(ctx)
				c.pause(ctx, reconnectPause)
			}
		})
	}
	clients.Wait()
}

// connect opens one connection and sends until the other side closes it or ctx ends.
func (c crowd) connect(ctx context.Context) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if _, err = conn.Write(c.script.opening); err != nil {
		return
	}
	if len(c.script.repeated) > 0 && !c.sendRepeated(ctx, conn) {
		return
	}
	_, _ = conn.Read(make([]byte, 1))
}

// sendRepeated sends the repeated part, and reports whether it was sent up to the limit.
func (c crowd) sendRepeated(ctx context.Context, conn net.Conn) bool {
	chunk := bytes.Repeat(c.script.repeated, chunkBytes/len(c.script.repeated))
	for sent := 0; c.script.limit == 0 || sent+len(chunk) <= c.script.limit; sent += len(chunk) {
		if _, err := conn.Write(chunk); err != nil {
			return false
		}
		c.pause(ctx, sendPause)
	}
	return ctx.Err() == nil
}

func (c crowd) pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-c.clock.After(duration):
	}
}
