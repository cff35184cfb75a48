package discovery

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// membersPath is where discovery serves its list.
const membersPath = "/catalog/members"

// rejectedError says that discovery has no capacity for a call now (status 429 or 503).
type rejectedError struct {
	retryAfter time.Duration // how long to stay away; 0 where discovery named no time
}

func (e rejectedError) Error() string { return fmt.Sprintf("rejected, retry after %v", e.retryAfter) }

// timedOut reports whether nothing at all came of a call: no answer, or no connection to make it on.
func timedOut(err error) bool {
	var timeout interface{ Timeout() bool } // the HTTP client's own error is no net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// call makes one call. With a revision it is a watch, which discovery holds until something has changed since then, for
// intervals.watchHold at the longest; with a negative one it asks for the complete list, and the answer is waited for for
// the timeout. The error is a rejectedError where discovery had no capacity.
func (c *Client) call(t *transport, revision int64, timeout time.Duration) (List, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	uri := "http://" + t.client.Addr + membersPath
	if revision >= 0 {
		hold := c.intervals.watchHold
		uri += "?from=" + strconv.FormatInt(revision, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
		timeout = hold + c.intervals.watchOverrun
	}
	req.SetRequestURI(uri)
	if err := t.client.DoTimeout(req, resp, timeout); err != nil {
		return List{}, fmt.Errorf("%s: %w", membersPath, err)
	}
	list, err := parseResponse(resp)
	if err != nil {
		return List{}, fmt.Errorf("%s: %w", membersPath, err)
	}
	if list.Complete && len(list.Members) == 0 && c.Size() > 0 {
		// Taken for a broken discovery, not for an empty fleet: it would leave this node without servers.
		return List{}, fmt.Errorf("%s: complete list without members", membersPath)
	}
	return list, nil
}

// parseResponse returns the list of a response, or why it has none.
func parseResponse(resp *fasthttp.Response) (List, error) {
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
		return ParseList(resp.Body())
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return List{}, fmt.Errorf("status %d: %w", status, rejectedError{parseRetryAfter(&resp.Header)})
	default:
		return List{}, fmt.Errorf("status %d", status)
	}
}

// parseRetryAfter reads Retry-After: seconds, whole or with decimals, or a date (RFC 9110, section 10.2.3). It returns 0
// where there is none or it cannot be read, and informDeadline at the most, since waits beyond that are not kept anyway.
func parseRetryAfter(h *fasthttp.ResponseHeader) time.Duration {
	text := string(h.Peek(fasthttp.HeaderRetryAfter))
	if seconds, err := strconv.ParseFloat(text, 64); err == nil && seconds > 0 {
		return time.Duration(min(seconds, informDeadline.Seconds()) * float64(time.Second))
	}
	if date, err := fasthttp.ParseHTTPDate([]byte(text)); err == nil {
		return min(informDeadline, max(0, time.Until(date)))
	}
	return 0
}
