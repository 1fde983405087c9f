package peer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell/cellpb"
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
