// Package blocks keeps what block-wise transfers (RFC 7959) need between their messages: bodies half sent by devices
// (Block1), and bodies that devices fetch piece by piece (Block2). It is pure; both stores are bounded by count, bytes and
// time.
package blocks

import (
	"container/list"
	"errors"
	"time"
)

// Block is the value of a Block1 or Block2 option.
type Block struct {
	Num  uint32
	More bool
	SZX  uint8 // the block has 2^(SZX+4) bytes; 7 is reserved
}

// MostSZX is the largest size that an option can tell: 1,024 bytes.
const MaxSZX = 6

// ErrReserved says that an option's size is the reserved one.
var ErrReserved = errors.New("block size 7 is reserved")

// Parse reads an option's value.
func Parse(v uint32) (Block, error) {
	b := Block{Num: v >> 4, More: v&8 != 0, SZX: uint8(v & 7)}
	if b.SZX > MaxSZX {
		return Block{}, ErrReserved
	}
	return b, nil
}

// Value is the option's value.
func (b Block) Value() uint32 {
	v := b.Num<<4 | uint32(b.SZX)
	if b.More {
		v |= 8
	}
	return v
}

// Size is the block's size in bytes.
func (b Block) Size() int { return 16 << b.SZX }

// Cut gives a block of a body, and whether the body has it. More and the size are as they are for this one.
func (b Block) Slice(body []byte) (part []byte, out Block, ok bool) {
	from := int(b.Num) * b.Size()
	if from > len(body) || from == len(body) && from > 0 {
		return nil, b, false
	}
	to := min(len(body), from+b.Size())
	b.More = to < len(body)
	return body[from:to], b, true
}

// Bounds are how much a store keeps.
type Limits struct {
	MaxTransfers   int // transfers
	MaxPerEndpoint int // transfers of one endpoint
	MaxBytes       int // of all bodies
	MaxBodyBytes   int // of one
	IdleTimeout    time.Duration
}

// Key names a transfer: who sends or fetches what.
type Key struct {
	Endpoint string
	Resource uint64 // method, path and query
}

// Verdict says what a block of an upload means.
type Verdict int

// The verdicts.
const (
	Continue   Verdict = iota // 2.31: the next one, please
	Complete                  // the body is whole
	Incomplete                // 4.08: an earlier block is missing; begin anew
	TooLarge                  // 4.13
	StoreFull                 // 5.03: too many transfers are half done
)

// Store keeps transfers.
type Store struct {
	b     Limits
	at    map[Key]*transfer
	count map[string]int
	order *list.List // by last use, oldest first
	bytes int
	lost  int64
}

type transfer struct {
	key   Key
	body  []byte
	used  time.Duration
	place *list.Element
}

// New makes an empty store.
func New(b Limits) *Store {
	return &Store{b: b, at: map[Key]*transfer{}, count: map[string]int{}, order: list.New()}
}

// Add takes a block of an upload at a time; with Whole it gives the body, which is then forgotten here.
func (s *Store) Add(now time.Duration, k Key, b Block, part []byte) (Verdict, []byte) {
	s.expire(now)
	t := s.at[k]
	if b.Num == 0 && t != nil { // begun anew
		s.remove(t)
		t = nil
	}
	if b.Num > 0 && (t == nil || len(t.body) != int(b.Num)*b.Size()) {
		return Incomplete, nil
	}
	if b.More && len(part) != b.Size() {
		return Incomplete, nil
	}
	if b.Num == 0 && !b.More {
		if len(part) > s.b.MaxBodyBytes {
			return TooLarge, nil
		}
		return Complete, part
	}
	if t == nil {
		if len(s.at) >= s.b.MaxTransfers || s.count[k.Endpoint] >= s.b.MaxPerEndpoint {
			return StoreFull, nil
		}
		t = s.add(now, k, nil)
	}
	switch {
	case len(t.body)+len(part) > s.b.MaxBodyBytes:
		s.remove(t)
		return TooLarge, nil
	case s.bytes+len(part) > s.b.MaxBytes:
		s.remove(t)
		return StoreFull, nil
	}
	t.body = append(t.body, part...)
	s.bytes += len(part)
	s.use(now, t)
	if b.More {
		return Continue, nil
	}
	body := t.body
	s.remove(t)
	return Complete, body
}

// Keep stores a body that is to be fetched in blocks. The oldest make way: whoever fetches one that is gone asks anew.
func (s *Store) Put(now time.Duration, k Key, body []byte) {
	s.expire(now)
	if t := s.at[k]; t != nil {
		s.remove(t)
	}
	if len(body) > s.b.MaxBytes || len(body) > s.b.MaxBodyBytes {
		return
	}
	for s.order.Len() > 0 && (len(s.at) >= s.b.MaxTransfers || s.bytes+len(body) > s.b.MaxBytes) {
		s.lost++
		s.remove(s.order.Front().Value.(*transfer))
	}
	if s.count[k.Endpoint] >= s.b.MaxPerEndpoint {
		s.dropOne(k.Endpoint)
	}
	s.add(now, k, body)
	s.bytes += len(body)
}

// dropOne forgets an endpoint's oldest transfer.
func (s *Store) dropOne(endpoint string) {
	for at := s.order.Front(); at != nil; at = at.Next() {
		if t := at.Value.(*transfer); t.key.Endpoint == endpoint {
			s.lost++
			s.remove(t)
			return
		}
	}
}

// Fetch gives a kept body.
func (s *Store) Get(now time.Duration, k Key) ([]byte, bool) {
	s.expire(now)
	t := s.at[k]
	if t == nil {
		return nil, false
	}
	s.use(now, t)
	return t.body, true
}

func (s *Store) add(now time.Duration, k Key, body []byte) *transfer {
	t := &transfer{key: k, body: body, used: now}
	t.place = s.order.PushBack(t)
	s.at[k] = t
	s.count[k.Endpoint]++
	return t
}

func (s *Store) use(now time.Duration, t *transfer) {
	t.used = now
	s.order.MoveToBack(t.place)
}

func (s *Store) expire(now time.Duration) {
	for first := s.order.Front(); first != nil; first = s.order.Front() {
		t := first.Value.(*transfer)
		if now-t.used < s.b.IdleTimeout {
			return
		}
		s.lost++
		s.remove(t)
	}
}

func (s *Store) remove(t *transfer) {
	delete(s.at, t.key)
	if s.count[t.key.Endpoint]--; s.count[t.key.Endpoint] == 0 {
		delete(s.count, t.key.Endpoint)
	}
	s.order.Remove(t.place)
	s.bytes -= len(t.body)
}

// Len is the number of transfers, Bytes what their bodies take, Lost how many were never finished.
func (s *Store) Len() int { return len(s.at) }

// Bytes is what the bodies take.
func (s *Store) Bytes() int { return s.bytes }

// Lost is how many transfers ended unfinished.
func (s *Store) Abandoned() int64 { return s.lost }
