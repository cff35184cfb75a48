package blocks

import (
	"bytes"
	"errors"
	"testing"
)

// part is a received block of a response.
type part struct {
	block   Block
	present bool
	length  int
}

// A response must not be accepted as complete if its blocks are missing, repeated, out of order, truncated or without
// their option.
func TestDownloadAcceptsOnlyBlocksInOrder(t *testing.T) {
	first := part{Block{Num: 0, More: true}, true, 16}
	for name, c := range map[string]struct {
		limit int
		parts []part
		err   error
		next  Block // if the body is not complete
		more  bool
	}{
		"a single part":                    {0, []part{{Block{}, false, 40}}, nil, Block{}, false},
		"two blocks":                       {0, []part{first, {Block{Num: 1}, true, 3}}, nil, Block{}, false},
		"the first of several blocks":      {0, []part{first}, nil, Block{Num: 1}, true},
		"an empty body":                    {0, []part{{Block{}, true, 0}}, nil, Block{}, false},
		"a decreasing block size":          {0, []part{{Block{SZX: 1, More: true}, true, 32}, {Block{Num: 2, More: true}, true, 16}}, nil, Block{Num: 3}, true},
		"a repeated block":                 {0, []part{first, first}, ErrMismatch, Block{}, false},
		"a skipped block":                  {0, []part{first, {Block{Num: 2}, true, 3}}, ErrMismatch, Block{}, false},
		"a missing first block":            {0, []part{{Block{Num: 1}, true, 3}}, ErrMismatch, Block{}, false},
		"a short block before the last":    {0, []part{{Block{More: true}, true, 15}}, ErrMismatch, Block{}, false},
		"a payload longer than its block":  {0, []part{{Block{}, true, 17}}, ErrMismatch, Block{}, false},
		"a later block without the option": {0, []part{first, {Block{}, false, 3}}, ErrMismatch, Block{}, false},
		"a block after the last":           {0, []part{{Block{}, true, 16}, {Block{Num: 1}, true, 3}}, ErrMismatch, Block{}, false},
		"a body over the limit":            {18, []part{first, {Block{Num: 1}, true, 3}}, ErrTooLong, Block{}, false},
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
				t.Fatalf("error = %v, want %v", err, c.err)
			}
			if c.err != nil {
				return
			}
			if next, more := d.Next(); next != c.next || more != c.more || len(d.Body()) != total {
				t.Errorf("Next() = %+v, %v with a body of %d bytes; want %+v, %v with %d bytes", next, more, len(d.Body()), c.next, c.more, total)
			}
		})
	}
}
