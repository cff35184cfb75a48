package blocks

import (
	"bytes"
	"errors"
)

// ErrMismatch is returned if a block of a response is not the requested one, or its payload does not match its size.
var ErrMismatch = errors.New("a block of the response does not have the expected number or size")

// ErrTooLong is returned if a response exceeds the limit of a Download.
var ErrTooLong = errors.New("the body of the response exceeds the limit")

// ErrVersionChanged is returned if a block of a response belongs to another version of the resource than the blocks before it.
var ErrVersionChanged = errors.New("the blocks of the response have different entity tags")

// Download assembles the body of a response from its blocks, which must arrive in order (RFC 7959, 2.4). The zero
// value expects the first block.
type Download struct {
	Limit int // maximum length of the body in bytes; 0 means no limit

	body     []byte
	etag     []byte // of the first block that had one
	last     Block
	started  bool
	complete bool
}

// CheckVersion compares the entity tag of a block, which is empty if the block has none, with that of the blocks before it (RFC 7959,
// 2.4). Its only possible error is ErrVersionChanged.
func (d *Download) CheckVersion(etag []byte) error {
	switch {
	case len(etag) == 0:
		return nil
	case d.etag == nil:
		d.etag = bytes.Clone(etag)
		return nil
	case !bytes.Equal(d.etag, etag):
		return ErrVersionChanged
	}
	return nil
}

// Add adds a block with its payload. present is false if the response has no block option and thus consists of a
// single part. After an error the download must not be used, because its body may have a gap.
func (d *Download) Add(block Block, present bool, payload []byte) error {
	isFirst := !d.started
	d.started = true
	switch {
	case d.complete, !isFirst && !present:
		return ErrMismatch
	case present && !block.acceptsPayload(len(d.body), len(payload)):
		return ErrMismatch
	case d.Limit > 0 && len(d.body)+len(payload) > d.Limit:
		return ErrTooLong
	}
	d.body = append(d.body, payload...)
	d.last = block
	d.complete = !block.More
	return nil
}

// acceptsPayload reports whether the block starts at the given offset of the body and may have a payload of the given
// length. Every block except the last must be full.
func (b Block) acceptsPayload(offset, length int) bool {
	if b.offset() != offset || length > b.Size() {
		return false
	}
	return !b.More || length == b.Size()
}

// Next returns the next block to request, in the size that the server chose; false if the body is complete.
func (d *Download) Next() (next Block, ok bool) {
	if d.complete {
		return Block{}, false
	}
	return Block{Num: d.last.Num + 1, SZX: d.last.SZX}, true
}

// Body returns the part of the body that has been received so far.
func (d *Download) Body() []byte { return d.body }
