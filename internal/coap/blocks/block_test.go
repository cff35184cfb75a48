package blocks

import (
	"errors"
	"testing"
)

func TestParseAndValueRoundTrip(t *testing.T) {
	for _, v := range []uint32{0, 0x08, 0x16, 0xfffff6, 0x2e} {
		b, err := Parse(v)
		if err != nil || b.Value() != v {
			t.Errorf("Parse(%#x) = %+v, %v; want the block with this value", v, b, err)
		}
	}
	if _, err := Parse(0x17); !errors.Is(err, ErrReserved) {
		t.Error("Parse(0x17): want ErrReserved for the reserved size exponent")
	}
}
