package podsoak

import (
	"testing"
	"time"
)

// The auditor must report a key that has its effect in two pods, also one of a server without a pod, and nothing that the pages allow: a repeat
// that its pod drops, effects across a change of the pods that the node has not had time to read, and a second effect after the window.
func TestEffectsInTwoPodsAreReported(t *testing.T) {
	const longAgo = 10 * time.Second
	for name, c := range map[string]struct {
		pods    []string      // of the two servers
		settled time.Duration // since when the pods were as they are at the first effect
		apart   time.Duration // from the first attempt to the second
		want    int
	}{
		"two pods":             {[]string{"a", "b"}, longAgo, 50 * time.Millisecond, 1},
		"no pod":               {[]string{"", ""}, longAgo, 50 * time.Millisecond, 1},
		"one pod":              {[]string{"a", "a"}, longAgo, 50 * time.Millisecond, 0},
		"changed just before":  {[]string{"a", "b"}, newsTime / 2, 50 * time.Millisecond, 0},
		"changed in between":   {[]string{"a", "b"}, -20 * time.Millisecond, 50 * time.Millisecond, 0},
		"after the window":     {[]string{"a", "b"}, longAgo, window + time.Millisecond, 0},
		"the window of a pod":  {[]string{"a", "a"}, longAgo, window - time.Millisecond, 0},
		"at the end of window": {[]string{"a", "b"}, longAgo, window - time.Millisecond, 1},
	} {
		f, err := startFleet(c.pods, 1)
		if err != nil {
			t.Fatal(err)
		}
		f.run("key", 0)
		first := &f.effects["key"][0]
		f.podsSince = first.at.Add(-c.settled)
		first.podsSince = f.podsSince
		first.at = time.Now().Add(-c.apart)
		f.podsSince = first.at.Add(-c.settled)
		f.seenAt[f.group(0)+" key"] = first.at
		f.run("key", 1)
		if got := len(f.breaches()); got != c.want {
			t.Errorf("%s: %d breaches, want %d: %v", name, got, c.want, f.breaches())
		}
		f.close()
	}
}
