// Package blocks holds what block-wise transfers (RFC 7959) need between their messages: the bodies that devices upload in
// Block1 options, and those that they download in Block2 options. It is pure; the stores are bounded by count, bytes and time.
package blocks

import "errors"

// MaxSZX is the largest size exponent that an option can have: blocks of 1,024 bytes.
const MaxSZX = 6

// The layout of an option's value (RFC 7959, 2.2).
const (
	numberShift = 4
	moreBit     = 1 << 3
	szxMask     = 7
)

// smallestBlock is the size of a block with the size exponent 0, in bytes.
const smallestBlock = 16

// ErrReserved says that an option has the size exponent 7, which is reserved.
var ErrReserved = errors.New("block size 7 is reserved")

// Block is the value of a Block1 or Block2 option. The zero value is the first and only block, of 16 bytes.
type Block struct {
	Num  uint32 // the block's number, from 0
	More bool   // whether further blocks follow
	SZX  uint8  // the size exponent: a block has 2^(SZX+4) bytes
}

// Parse reads an option's value. The error is ErrReserved.
func Parse(value uint32) (Block, error) {
	b := Block{Num: value >> numberShift, More: value&moreBit != 0, SZX: uint8(value & szxMask)}
	if b.SZX > MaxSZX {
		return Block{}, ErrReserved
	}
	return b, nil
}

// Value is the option's value.
func (b Block) Value() uint32 {
	value := b.Num<<numberShift | uint32(b.SZX)
	if b.More {
		value |= moreBit
	}
	return value
}

// Size is the block's size in bytes.
func (b Block) Size() int { return smallestBlock << b.SZX }

// offset is where the block begins in a body.
func (b Block) offset() int { return int(b.Num) * b.Size() }

// Slice gives the block's part of a body, and the block with More as it is for this body; false where the body is shorter.
// An empty body has one empty block.
func (b Block) Slice(body []byte) (part []byte, block Block, ok bool) {
	from := b.offset()
	if from > len(body) || from == len(body) && from > 0 {
		return nil, b, false
	}
	to := min(len(body), from+b.Size())
	b.More = to < len(body)
	return body[from:to], b, true
}
