package peer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxMessageBytes bounds one message; a batch of carried jobs is the largest.
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

// writeMessage writes the message in one call, because yamux sends each call as a frame of its own and protodelim makes
// one call for the size and one for the message.
func writeMessage(w io.Writer, message proto.Message) error {
	var buffer bytes.Buffer
	if _, err := protodelim.MarshalTo(&buffer, message); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	if _, err := w.Write(buffer.Bytes()); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}
