package discovery

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func TestParseRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{"": 0, "-1": 0, "1.5": 1500 * time.Millisecond, "1e9": notifyDeadline, "NaN": 0,
		"noise": 0, "Thu, 01 Jan 1970 00:00:00 GMT": 0, "Fri, 01 Jan 2100 00:00:00 GMT": notifyDeadline} {
		var header fasthttp.ResponseHeader
		header.Set("Retry-After", value)
		if got := parseRetryAfter(&header); got != want {
			t.Errorf("parseRetryAfter(%q) = %v, want %v", value, got, want)
		}
	}
}
