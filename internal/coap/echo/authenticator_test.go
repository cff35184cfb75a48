package echo

import (
	"testing"
	"time"
)

func TestCheckReturnsVerdicts(t *testing.T) {
	authenticator, other := New([32]byte{1}), New([32]byte{2})
	v := authenticator.Issue(10*time.Second, "a")
	forged := append([]byte(nil), v...)
	forged[0]++
	for name, c := range map[string]struct {
		now      time.Duration
		endpoint string
		value    []byte
		present  bool
		want     Verdict
	}{
		"none":              {10 * time.Second, "a", nil, false, None},
		"empty":             {10 * time.Second, "a", []byte{}, true, None},
		"fresh":             {10 * time.Second, "a", v, true, Valid},
		"fresh at the end":  {310 * time.Second, "a", v, true, Valid},
		"old":               {311 * time.Second, "a", v, true, Expired},
		"another endpoint":  {10 * time.Second, "b", v, true, Unknown},
		"another process":   {10 * time.Second, "a", other.Issue(10*time.Second, "a"), true, Unknown},
		"forged time":       {10 * time.Second, "a", forged, true, Unknown},
		"of another length": {10 * time.Second, "a", v[:6], true, Unknown},
	} {
		if got := authenticator.Check(c.now, c.endpoint, c.value, c.present); got != c.want {
			t.Errorf("%s: Check() = %v, want %v", name, got, c.want)
		}
	}
}
