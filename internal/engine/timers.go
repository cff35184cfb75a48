package engine

import "container/heap"

// timer is one entry of the heap: a timer that the balancer set, or an attempt's deadline.
type timer struct {
	at      float64
	seq     uint64 // timers due at the same time fire in the order they were set
	token   string // the balancer's, where attempt is nil
	attempt *attempt
}

// timers is a heap of all that falls due.
type timers struct {
	heap timerHeap
	seq  uint64
}

func (t *timers) add(at float64, token string, a *attempt) {
	t.seq++
	heap.Push(&t.heap, timer{at: at, seq: t.seq, token: token, attempt: a})
}

// next is when the first falls due; false where there is none.
func (t *timers) next() (float64, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// due takes the first timer out if its time has come.
func (t *timers) due(now float64) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return timer{}, false
	}
	return heap.Pop(&t.heap).(timer), true
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
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
