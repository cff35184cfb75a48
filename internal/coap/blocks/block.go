// Package blocks stores the state of block-wise transfers (RFC 7959) between their messages: the bodies that devices
// upload with Block1 options, and those that they download with Block2 options. It is pure: the caller passes the
// times. The number, size and idle time of the transfers in a store are limited.
package blocks

import "errors"

// MaxSZX is the largest size exponent that an option can have, for blocks of 1,024 bytes.
const MaxSZX = 6

// The layout of an option's value (RFC 7959, 2.2).
const (
	numberShift = 4
	moreBit     = 1 << 3
	szxMask     = 7
)

// smallestBlock is the size in bytes of a block with the size exponent 0.
const smallestBlock = 16

// ErrReserved is returned for an option with the reserved size exponent 7.
var ErrReserved = errors.New("block size 7 is reserved")

// Block is the value of a Block1 or Block2 option. The zero value is the first and only block, of 16 bytes.
type Block struct {
	Num  uint32 // number of the block, starting at 0
	More bool   // whether further blocks follow
	SZX  uint8  // size exponent: a block has 2^(SZX+4) bytes
}

// Parse decodes the value of an option. Its only possible error is ErrReserved.
func Parse(value uint32) (Block, error) {
	b := Block{Num: value >> numberShift, More: value&moreBit != 0, SZX: uint8(value & szxMask)}
	if b.SZX > MaxSZX {
		return Block{}, ErrReserved
	}
	return b, nil
}

// Value returns the value of the option.
func (b Block) Value() uint32 {
	value := b.Num<<numberShift | uint32(b.SZX)
	if b.More {
		value |= moreBit
	}
	return value
}

// Size returns the size of the block in bytes.
func (b Block) Size() int { return smallestBlock << b.SZX }

// offset returns the offset in bytes at which the block starts in a body.
func (b Block) offset() int { return int(b.Num) * b.Size() }

// Slice returns the part of a body that belongs to the block, and a copy of the block in which More reports whether
// the body continues after it. ok is false if the body ends before the block starts. An empty body has one empty
// block.
func (b Block) Slice(body []byte) (part []byte, block Block, ok bool) {
	start := b.offset()
	if start > len(body) || start == len(body) && start > 0 {
		return nil, b, false
	}
	end := min(len(body), start+b.Size())
	b.More = end < len(body)
	return body[start:end], b, true
}
