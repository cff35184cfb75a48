package blocks

import (
	"errors"
	"testing"
)

func TestBlockValues(t *testing.T) {
	for _, v := range []uint32{0, 0x08, 0x16, 0xfffff6, 0x2e} {
		b, err := Parse(v)
		if err != nil || b.Value() != v {
			t.Errorf("%#x: %+v %v", v, b, err)
		}
	}
	if _, err := Parse(0x17); !errors.Is(err, ErrReserved) {
		t.Error("the reserved size was accepted")
	}
}
