package engine

import "container/heap"

// timer is a pending timer of the balancer or the deadline of an attempt.
type timer struct {
	fireAt  float64  // Unix milliseconds of the node's clock
	seq     uint64   // timers due at the same time fire in the order they were set
	token   string   // passed to the balancer when the timer fires; unused if attempt is set
	attempt *attempt // the attempt that times out; nil for a timer of the balancer
}

// timers holds all pending timers, ordered by their due time.
type timers struct {
	heap timerHeap
	seq  uint64
}

func (t *timers) add(fireAt float64, token string, a *attempt) {
	t.seq++
	heap.Push(&t.heap, timer{fireAt: fireAt, seq: t.seq, token: token, attempt: a})
}

// nextFireTime returns the time of the earliest timer, or false if no timer is set.
func (t *timers) nextFireTime() (float64, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].fireAt, true
}

// popDue removes and returns the earliest timer, or returns false if none is due.
func (t *timers) popDue(now float64) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].fireAt > now {
		return timer{}, false
	}
	return heap.Pop(&t.heap).(timer), true
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].fireAt < h[j].fireAt || h[i].fireAt == h[j].fireAt && h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // drop the reference to the attempt
	*h = old[:len(old)-1]
	return last
}
