package peer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
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
