package cluster

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"tackhub.example/tackhub/internal/membership"
)

// Any host can send a stream that starts with an arbitrary length. A length above the limit must be rejected before memory is allocated
// for it, and a truncated message must return an error.
func TestStreamMessageLengthIsBounded(t *testing.T) {
	prefix := binary.BigEndian.AppendUint32(nil, maxStateBytes+1)
	if _, err := readMessage(bytes.NewReader(prefix)); !errors.Is(err, errTooLong) {
		t.Errorf("readMessage with length %d: %v, want errTooLong", maxStateBytes+1, err)
	}
	if _, err := readMessage(bytes.NewReader(append(binary.BigEndian.AppendUint32(nil, 9), 1, 2))); err == nil {
		t.Error("readMessage accepted a truncated message, want an error")
	}
	var buffer bytes.Buffer
	tooLong := membership.Message{Updates: make([]membership.Update, 2000)}
	for i := range tooLong.Updates {
		tooLong.Updates[i] = membership.Update{Name: string(make([]byte, 200))}
	}
	if _, err := writeMessage(&buffer, tooLong); !errors.Is(err, errTooLong) || buffer.Len() > 0 {
		t.Errorf("writeMessage of a too long message wrote %d bytes, error %v; want 0 bytes and errTooLong", buffer.Len(), err)
	}
}
