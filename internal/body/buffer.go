package body

import "tackhub.example/tackhub/internal/memory"

// smallBufferSize is the size of a buffer, in bytes, if no buffer of BufferSize is free. A transfer through it costs more CPU but goes
// on: cutting a response off because of other clients that read theirs slowly would lose it.
const smallBufferSize = 4 << 10

// AcquireBuffer returns a buffer of BufferSize, or a smaller one if none of these is free. The caller must pass it to ReleaseBuffer after
// use.
func (s *Store) AcquireBuffer() []byte {
	if s.reserveBuffer() {
		s.count.Buffers.Inc()
		return s.pool.Get().(*[BufferSize]byte)[:]
	}
	s.memory.Charge(memory.TransferBuffers, smallBufferSize)
	s.count.SmallBuffers.Inc()
	return make([]byte, smallBufferSize)
}

// reserveBuffer reserves a buffer of BufferSize, and reports whether one is free.
func (s *Store) reserveBuffer() bool {
	select {
	case s.bufferSlots <- struct{}{}:
	default:
		return false
	}
	if s.memory.TryCharge(memory.TransferBuffers, BufferSize) {
		return true
	}
	<-s.bufferSlots
	return false
}

// ReleaseBuffer returns a buffer to the store.
func (s *Store) ReleaseBuffer(buffer []byte) {
	if len(buffer) < BufferSize {
		s.memory.Release(memory.TransferBuffers, smallBufferSize)
		s.count.SmallBuffers.Add(-1)
		return
	}
	s.pool.Put((*[BufferSize]byte)(buffer))
	s.count.Buffers.Add(-1)
	s.memory.Release(memory.TransferBuffers, BufferSize)
	<-s.bufferSlots
}
