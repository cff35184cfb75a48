package body

// smallBufferSize is the size of a buffer, in bytes, if all buffers of BufferSize are in use. A transfer through it costs more CPU but goes
// on: cutting a response off because of other clients that read theirs slowly would lose it.
const smallBufferSize = 4 << 10

// AcquireBuffer returns a buffer of BufferSize, or a smaller one if all of these are in use. The caller must pass it to ReleaseBuffer after
// use.
func (s *Store) AcquireBuffer() []byte {
	select {
	case s.bufferSlots <- struct{}{}:
		s.count.Buffers.Inc()
		return s.pool.Get().(*[BufferSize]byte)[:]
	default:
		s.count.SmallBuffers.Inc()
		return make([]byte, smallBufferSize)
	}
}

// ReleaseBuffer returns a buffer to the store.
func (s *Store) ReleaseBuffer(buffer []byte) {
	if len(buffer) < BufferSize {
		s.count.SmallBuffers.Add(-1)
		return
	}
	s.pool.Put((*[BufferSize]byte)(buffer))
	s.count.Buffers.Add(-1)
	<-s.bufferSlots
}
