package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/connlimit"
)

const (
	// smallRequestBytes is the size up to which a request fits into the buffers that a session has anyway.
	smallRequestBytes = 16 << 10
	// streamBufferBytes is the memory that a stream's buffer takes once a large request fills it.
	streamBufferBytes = 512 << 10
)

// maxMessageBytes bounds one message. Orders are usually the largest, because they contain the spec of each start.
const maxMessageBytes = 8 << 20

func readMessage(r io.Reader, message proto.Message) error {
	options := protodelim.UnmarshalOptions{
		MaxSize: maxMessageBytes,
	}
	if err := options.UnmarshalFrom(bufio.NewReader(r), message); err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	return nil
}

// readRequest reads a request of a session, which is charged for it as it arrives. A length alone takes no memory.
func readRequest(r io.Reader, conn *connlimit.Conn, message proto.Message) error {
	reader := bufio.NewReader(r)
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return fmt.Errorf("read request: %w", err)
	}
	if size > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes are more than %d", errLimit, size, maxMessageBytes)
	}
	buffered := int64(0)
	if size > smallRequestBytes {
		buffered = streamBufferBytes
	}
	if !conn.Hold(buffered) {
		return fmt.Errorf("%w: no room for a large one", errLimit)
	}
	content, err := conn.ReadAll(io.LimitReader(reader, int64(size)), maxMessageBytes, requestCost)
	if errors.Is(err, connlimit.ErrBusy) {
		return fmt.Errorf("%w: %w", errLimit, err)
	}
	if err != nil {
		return fmt.Errorf("read request: %w", err)
	}
	if len(content) < int(size) {
		return fmt.Errorf("read request: %w", io.ErrUnexpectedEOF)
	}
	if err = proto.Unmarshal(content, message); err != nil {
		return fmt.Errorf("decode request: %w", err)
	}
	// The buffers are empty now, and the call may wait for its reply for a while.
	conn.Free(buffered + requestCost*int64(size))
	return nil
}

func writeMessage(w io.Writer, message proto.Message) error {
	// One write per message, because yamux sends each write as a frame with a header of 12 bytes.
	var buffer bytes.Buffer
	if _, err := protodelim.MarshalTo(&buffer, message); err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if _, err := w.Write(buffer.Bytes()); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}
