package blocks

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{MaxTransfers: 3, MaxPerEndpoint: 2, MaxBytes: 4096, MaxBodyBytes: 2048, IdleTimeout: time.Minute}

func TestAddReturnsVerdicts(t *testing.T) {
	k := Key{"a", 1}
	part := bytes.Repeat([]byte("x"), 16)
	type step struct {
		num  uint32
		more bool
		part []byte
		want Verdict
	}
	for name, steps := range map[string][]step{
		"in order":               {{0, true, part, Continue}, {1, true, part, Continue}, {2, false, part[:3], Complete}},
		"one block":              {{0, false, part, Complete}},
		"missing block":          {{0, true, part, Continue}, {2, true, part, Incomplete}, {1, false, part, Complete}},
		"not started":            {{3, true, part, Incomplete}},
		"restarted with block 0": {{0, true, part, Continue}, {1, true, part, Continue}, {0, true, part, Continue}, {1, false, part, Complete}},
		"short block":            {{0, true, part[:5], Incomplete}},
	} {
		s := New(limits)
		var got []byte
		for i, st := range steps {
			v, body := s.Add(0, k, Block{Num: st.num, More: st.more}, st.part)
			if v != st.want {
				t.Errorf("%s: verdict of block %d = %v, want %v", name, i, v, st.want)
			}
			got = body
		}
		if steps[len(steps)-1].want == Complete && (s.Len() != 0 || s.Bytes() != 0 || len(got) == 0) {
			t.Errorf("%s: got %d transfers and %d bytes stored, body of %d bytes; want 0, 0 and a body", name, s.Len(), s.Bytes(), len(got))
		}
	}
	s := New(limits)
	for i, want := range []Verdict{Continue, Continue, StoreFull} { // of one endpoint
		if v, _ := s.Add(0, Key{"a", uint64(i)}, Block{More: true}, part); v != want {
			t.Errorf("transfer %d of one endpoint: verdict = %v, want %v", i, v, want)
		}
	}
	if v, _ := s.Add(time.Minute, Key{"a", 9}, Block{More: true}, part); v != Continue || s.Abandoned() != 2 {
		t.Errorf("after the idle timeout: verdict = %v, %d abandoned; want Continue, 2", v, s.Abandoned())
	}
	for n := uint32(1); ; n++ {
		v, _ := s.Add(time.Minute, Key{"a", 9}, Block{Num: n, More: true}, part)
		if v == Continue && n < 200 {
			continue
		}
		if v != TooLarge || n != 128 {
			t.Errorf("block %d: verdict = %v, want TooLarge at block 128, above 2048 bytes", n, v)
		}
		break
	}
}

// A body that is stored and fetched in blocks of any size must be unchanged, and the store must stay within its
// limits.
func TestDownloadInBlocksReturnsStoredBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(limits)
		for i := range rapid.IntRange(1, 12).Draw(t, "bodies") {
			k := Key{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "endpoint"), uint64(i)}
			body := bytes.Repeat([]byte{byte(i)}, rapid.IntRange(0, 2100).Draw(t, "size"))
			s.Put(0, k, body)
			if s.Bytes() > limits.MaxBytes || s.Len() > limits.MaxTransfers {
				t.Fatalf("store has %d bytes and %d transfers, want them within the limits", s.Bytes(), s.Len())
			}
			stored, ok := s.Get(0, k)
			if ok != (len(body) <= limits.MaxBodyBytes) {
				t.Fatalf("Get of a body of %d bytes: ok = %v, want true only up to %d bytes", len(body), ok, limits.MaxBodyBytes)
			}
			if !ok {
				continue
			}
			var got []byte
			b := Block{SZX: uint8(rapid.IntRange(0, MaxSZX).Draw(t, "szx"))}
			for {
				part, out, ok := b.Slice(stored)
				if !ok {
					t.Fatalf("block %d of a body of %d bytes not found", b.Num, len(body))
				}
				got = append(got, part...)
				if !out.More {
					break
				}
				b.Num++
			}
			if !bytes.Equal(got, body) {
				t.Fatalf("got %d bytes, want the stored body of %d bytes", len(got), len(body))
			}
			if _, _, ok := (Block{Num: b.Num + 1, SZX: b.SZX}).Slice(stored); ok {
				t.Fatal("Slice returned a block beyond the end of the body")
			}
		}
	})
}

func FuzzUpload(f *testing.F) {
	f.Add([]byte{0x08, 0x18, 0x20})
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := New(limits)
		for i, v := range raw {
			b, err := Parse(uint32(v))
			if err != nil {
				continue
			}
			s.Add(time.Duration(i)*time.Second, Key{"a", uint64(v >> 7)}, b, make([]byte, b.Size()))
			if s.Bytes() > limits.MaxBytes || s.Len() > limits.MaxTransfers || s.Bytes() < 0 {
				t.Fatalf("store has %d bytes and %d transfers, want them within the limits", s.Bytes(), s.Len())
			}
		}
	})
}
