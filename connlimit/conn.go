package connlimit

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"time"
)

// readChunkBytes is the number of bytes that are charged at once.
const readChunkBytes = 4 << 10

// Conn is a connection that counts for a limiter, whose mutex guards it.
type Conn struct {
	net.Conn
	limiter *Limiter
	// list is the list that holds the connection, at element; both nil while it serves a request.
	list    *list.List
	element *list.Element
	// held is the number of bytes held for its request.
	held   int64
	closed bool
}

// Begin notes that a request begins, which may be closed at a limit until Serve.
func (c *Conn) Begin() {
	c.limiter.begin(c)
}

// Close closes the connection and forgets it.
func (c *Conn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close() //nolint:wrapcheck // servers compare it
}

// CloseWrite closes the sending side, so that a client can read a response before the connection ends.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Free frees bytes that were held.
func (c *Conn) Free(bytes int64) {
	c.limiter.free(c, bytes)
}

// Hold charges the connection for bytes of a request. It reports false if they can't be held.
func (c *Conn) Hold(bytes int64) bool {
	return c.limiter.hold(c, bytes)
}

// ReadAll reads up to limit bytes and charges the connection for them as they come, each at a cost.
func (c *Conn) ReadAll(body io.Reader, limit, cost int64) ([]byte, error) {
	var buffer bytes.Buffer
	for {
		read, err := io.CopyN(&buffer, body, readChunkBytes)
		if int64(buffer.Len()) > limit {
			return nil, errTooLarge
		}
		if !c.Hold(read * cost) {
			return nil, ErrBusy
		}
		switch {
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), nil
		case err != nil:
			return nil, errors.Join(errUnfinished, err)
		}
	}
}

// Rest notes that requests were answered; what they held is free.
func (c *Conn) Rest() {
	c.limiter.release(c)
	c.limiter.rest(c)
}

// SetReadTimeout sets the time within which the client must send; 0 means without limit.
func (c *Conn) SetReadTimeout(timeout time.Duration) {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = c.limiter.config.Clock.Now().Add(timeout)
	}
	// It fails only on a connection that is closed.
	_ = c.SetReadDeadline(deadline)
}

// Serve notes that a request was read whole, so that the connection isn't closed for another one.
func (c *Conn) Serve() {
	c.limiter.serve(c)
}
