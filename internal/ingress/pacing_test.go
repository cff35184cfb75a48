package ingress

import (
	"testing"
	"time"
)

// Many connections that flood the node must share one rate, and none may be delayed for long.
func TestPacerBoundsRateAndDelay(t *testing.T) {
	var p pacer
	now := time.Now()
	for i := range 100 {
		want := min(time.Duration(i+1)*pacingInterval, maxPacingDelay)
		if got := p.reserve(now); got != want {
			t.Fatalf("delay of request %d = %v, want %v", i, got, want)
		}
	}
	if got := p.reserve(now.Add(time.Second)); got != pacingInterval {
		t.Errorf("delay after a second without requests = %v, want %v", got, pacingInterval)
	}
}
