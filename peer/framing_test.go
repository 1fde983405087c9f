package peer

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/connlimit"
)

// countingWriter counts the calls of Write.
type countingWriter struct {
	bytes.Buffer
	calls int
}

// Write implements io.Writer.
func (w *countingWriter) Write(data []byte) (int, error) {
	w.calls++
	return w.Buffer.Write(data)
}

// TestMessageIsSentInOneWrite guards against splitting a message into several writes, which would cost an additional
// yamux frame and TCP segment for each heartbeat.
func TestMessageIsSentInOneWrite(t *testing.T) {
	sent := &cellpb.Request{
		Body: &cellpb.Request_Append{
			Append: &cellpb.Append{
				Key: "job",
			},
		},
	}
	w := &countingWriter{}
	require.NoError(t, writeMessage(w, sent))
	require.Equal(t, 1, w.calls)
	received := &cellpb.Request{}
	require.NoError(t, readMessage(w, received))
	require.Equal(t, "job", received.GetAppend().GetKey())
}

// Guards against a request of a client that nobody controls which ends the process, or reserves memory by its length.
func FuzzReadRequest(f *testing.F) {
	f.Add([]byte{3, 10, 1, 97})
	f.Add(binary.AppendUvarint(nil, maxMessageBytes+1))
	f.Add(binary.AppendUvarint(nil, maxMessageBytes))
	f.Fuzz(func(_ *testing.T, content []byte) {
		limiter := connlimit.NewUnlimited(hclog.NewNullLogger(), clockwork.NewRealClock())
		_ = readRequest(bytes.NewReader(content), limiter.NewConn(nil), &cellpb.Request{})
	})
}
