package discovery

import (
	"testing"
	"time"
)

// A node once learned of a change 20 s after it, since each wait had a bound of its own and their sum had none: a watch held
// for 20 s by a large fleet, a Retry-After of 15 s. The sum now stays within informDeadline for any number of nodes and any
// drain grace.
func TestWaitsStayWithinInformDeadline(t *testing.T) {
	for nodes := range 1025 {
		for _, grace := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond, 2 * time.Second, time.Minute} {
			for _, maxPollInterval := range []time.Duration{0, 200 * time.Millisecond, 10 * time.Second} {
				for _, subscribe := range []bool{false, true} {
					iv := intervalsFor(Options{Nodes: nodes, DrainGrace: grace, MaxPollInterval: maxPollInterval, WatchOnRequest: subscribe})
					if worst := iv.worstCase(subscribe); worst > informDeadline {
						t.Fatalf("%d nodes, grace %v, on demand %v: a change may take %v: %+v", nodes, grace, subscribe, worst, iv)
					}
					for range 20 {
						if d := iv.retryDelay(time.Hour, iv.maxRejectedBackoff); d > iv.maxRetryDelay || d < iv.maxRetryDelay/2 {
							t.Fatalf("%d nodes: delay after a rejection %v, bound %v", nodes, d, iv.maxRetryDelay)
						}
						if d := iv.retryDelay(0, iv.maxSilentBackoff); d > iv.maxRetryDelay {
							t.Fatalf("%d nodes: delay after a silent call %v, bound %v", nodes, d, iv.maxRetryDelay)
						}
					}
					if iv.watchHold < time.Second && maxPollInterval == 0 || iv.watchHold < 100*time.Millisecond || iv.callTimeout <= 0 || iv.maxRetryDelay <= 0 {
						t.Fatalf("%d nodes, grace %v: %+v", nodes, grace, iv)
					}
				}
			}
		}
	}
}
