package discovery

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func TestParseRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "-1": 0, "1.5": 1500 * time.Millisecond, "1e9": informDeadline, "NaN": 0,
		"noise": 0, "Thu, 01 Jan 1970 00:00:00 GMT": 0, "Fri, 01 Jan 2100 00:00:00 GMT": informDeadline} {
		var h fasthttp.ResponseHeader
		h.Set("Retry-After", text)
		if got := parseRetryAfter(&h); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}
