package blocks

import (
	"bytes"
	"errors"
	"testing"
)

// part is a block of a response as it comes.
type part struct {
	block   Block
	present bool
	length  int
}

// A response whose blocks are missing, repeated, out of order, cut short or without their option must not pass for a whole one.
func TestDownload(t *testing.T) {
	first := part{Block{Num: 0, More: true}, true, 16}
	for name, c := range map[string]struct {
		limit int
		parts []part
		err   error
		next  Block // where the body is not complete
		more  bool
	}{
		"a single part":               {0, []part{{Block{}, false, 40}}, nil, Block{}, false},
		"two blocks":                  {0, []part{first, {Block{Num: 1}, true, 3}}, nil, Block{}, false},
		"the first of several":        {0, []part{first}, nil, Block{Num: 1}, true},
		"an empty body":               {0, []part{{Block{}, true, 0}}, nil, Block{}, false},
		"a size that becomes smaller": {0, []part{{Block{SZX: 1, More: true}, true, 32}, {Block{Num: 2, More: true}, true, 16}}, nil, Block{Num: 3}, true},
		"a block again":               {0, []part{first, first}, ErrMismatch, Block{}, false},
		"a block left out":            {0, []part{first, {Block{Num: 2}, true, 3}}, ErrMismatch, Block{}, false},
		"not the first":               {0, []part{{Block{Num: 1}, true, 3}}, ErrMismatch, Block{}, false},
		"a short one before the last": {0, []part{{Block{More: true}, true, 15}}, ErrMismatch, Block{}, false},
		"longer than its size":        {0, []part{{Block{}, true, 17}}, ErrMismatch, Block{}, false},
		"a later one without option":  {0, []part{first, {Block{}, false, 3}}, ErrMismatch, Block{}, false},
		"one after the last":          {0, []part{{Block{}, true, 16}, {Block{Num: 1}, true, 3}}, ErrMismatch, Block{}, false},
		"more than the limit":         {18, []part{first, {Block{Num: 1}, true, 3}}, ErrTooLong, Block{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := Download{Limit: c.limit}
			var err error
			total := 0
			for _, p := range c.parts {
				total += p.length
				err = d.Add(p.block, p.present, bytes.Repeat([]byte("x"), p.length))
			}
			if !errors.Is(err, c.err) {
				t.Fatalf("%v, want %v", err, c.err)
			}
			if c.err != nil {
				return
			}
			if next, more := d.Next(); next != c.next || more != c.more || len(d.Body()) != total {
				t.Errorf("next %+v, %v; %d bytes", next, more, len(d.Body()))
			}
		})
	}
}
