package upstream

import (
	"testing"
	"time"
)

// Checks that a response of unknown size may pause for less than half a second after the request's deadline, and that the
// deadline does not limit a response over 64 KiB, of which only the first bytes are timed.
func TestReadDeadline(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		s    Stream
		want time.Duration // from now
	}{
		"no deadline":                   {Stream{size: -1}, stallTimeout},
		"long before":                   {Stream{size: -1, deadline: now.Add(time.Minute)}, stallTimeout},
		"unknown size, before":          {Stream{size: -1, bytesRead: 11, deadline: now.Add(time.Second)}, time.Second},
		"unknown size, shortly before":  {Stream{size: -1, bytesRead: 11, deadline: now.Add(time.Millisecond)}, stallTimeoutAfterDeadline},
		"unknown size, after":           {Stream{size: -1, bytesRead: 11, deadline: now.Add(-time.Hour)}, stallTimeoutAfterDeadline},
		"unknown size and large, after": {Stream{size: -1, bytesRead: 1 << 20, deadline: now.Add(-time.Hour)}, stallTimeoutAfterDeadline},
		"large, before":                 {Stream{size: 1 << 20, deadline: now.Add(time.Second)}, stallTimeout},
		"large, after":                  {Stream{size: 1 << 20, deadline: now.Add(-time.Hour)}, stallTimeout},
	} {
		due := c.s.readDeadline().Sub(now)
		passed := time.Since(now)
		if due < c.want || due > c.want+passed {
			t.Errorf("%s: read deadline in %v, want %v to %v", name, due, c.want, c.want+passed)
		}
	}
}
