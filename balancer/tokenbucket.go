package balancer

import "math"

// tokenBucket is an allowance that refills with time.
type tokenBucket struct {
	left       float64
	refilledAt Millis
}

// refill adds what has accrued since the last refill at the given rate per millisecond, up to
// capacity, and returns what is left.
func (t *tokenBucket) refill(now Millis, rate, capacity float64) float64 {
	t.left = min(capacity, t.left+rate*(now-t.refilledAt))
	t.refilledAt = now
	return t.left
}

// refillPhased refills an allowance of which at most capacity may be saved.
//
// Where the capacity is under one token, each whole token that accrues stays available only for a
// part of the time until the next one: the part that the capacity is of one token. Of many nodes,
// each in a random phase, as many hold a token at any moment as may together save one. Without it
// all nodes could save a token each and spend them on one cold server at the same time.
func (t *tokenBucket) refillPhased(now Millis, rate, capacity float64) float64 {
	t.refill(now, rate, math.Inf(1))
	if capacity >= 1 {
		t.left = min(t.left, capacity)
		return t.left
	}
	if t.left >= 1+capacity {
		t.left -= math.Floor(t.left)
		if t.left < capacity {
			t.left++
		}
	}
	return t.left
}

// take spends one token, if there is one.
func (t *tokenBucket) take() bool {
	if t.left < 1 {
		return false
	}
	t.left--
	return true
}
