package blocks

import "errors"

// ErrMismatch says that a block of a response is not the one that was asked for, or not as long as its size says.
var ErrMismatch = errors.New("the response's blocks do not fit")

// ErrTooLong says that a response is longer than its limit.
var ErrTooLong = errors.New("the response is too long")

// Download puts the body of a response together from its blocks, which have to come in order (RFC 7959, 2.4). The zero value waits for
// the first block.
type Download struct {
	Limit int // of the body's length in bytes; 0: none

	body     []byte
	last     Block
	started  bool
	complete bool
}

// Add takes a block's option, which is absent where a response has a single part, and its payload. After an error the response cannot
// be used: what is there of its body may have a gap.
func (d *Download) Add(block Block, present bool, payload []byte) error {
	first := !d.started
	d.started = true
	switch {
	case d.complete, !first && !present:
		return ErrMismatch
	case present && !block.holds(len(d.body), len(payload)):
		return ErrMismatch
	case d.Limit > 0 && len(d.body)+len(payload) > d.Limit:
		return ErrTooLong
	}
	d.body = append(d.body, payload...)
	d.last = block
	d.complete = !block.More
	return nil
}

// holds reports whether a payload of a length can be the block's part of a body, from an offset on. A block before the last is full.
func (b Block) holds(offset, length int) bool {
	if b.offset() != offset || length > b.Size() {
		return false
	}
	return !b.More || length == b.Size()
}

// Next returns the block to ask for, in the size that the server chose; false where the body is complete.
func (d *Download) Next() (next Block, ok bool) {
	if d.complete {
		return Block{}, false
	}
	return Block{Num: d.last.Num + 1, SZX: d.last.SZX}, true
}

// Body returns the body as far as it has come.
func (d *Download) Body() []byte { return d.body }
