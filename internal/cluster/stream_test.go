package cluster

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"tackhub.example/tackhub/internal/membership"
)

// A stream begins with a length that anybody may claim. It must take no memory beyond the bound, and a message that is cut off must be
// an error.
func TestStreamsAreBounded(t *testing.T) {
	head := binary.BigEndian.AppendUint32(nil, maxStateBytes+1)
	if _, err := readMessage(bytes.NewReader(head)); !errors.Is(err, errTooLong) {
		t.Errorf("read a claim of %d bytes: %v", maxStateBytes+1, err)
	}
	if _, err := readMessage(bytes.NewReader(append(binary.BigEndian.AppendUint32(nil, 9), 1, 2))); err == nil {
		t.Error("half a state was read")
	}
	var b bytes.Buffer
	big := membership.Message{Updates: make([]membership.Update, 2000)}
	for i := range big.Updates {
		big.Updates[i] = membership.Update{Name: string(make([]byte, 200))}
	}
	if _, err := writeMessage(&b, big); !errors.Is(err, errTooLong) || b.Len() > 0 {
		t.Errorf("wrote %d bytes, %v", b.Len(), err)
	}
}
