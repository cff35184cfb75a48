package discovery

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// membersPath is the path at which discovery serves the endpoint list.
const membersPath = "/catalog/members"

// rejectedError reports that discovery rejected a call for lack of capacity (status 429 or 503).
type rejectedError struct {
	retryAfter time.Duration // from the Retry-After header; 0 if it is missing or invalid
}

func (e rejectedError) Error() string { return fmt.Sprintf("rejected, retry after %v", e.retryAfter) }

// statusError reports a response with a status other than 200, 429 and 503.
type statusError struct{ status int }

func (e statusError) Error() string { return fmt.Sprintf("unexpected status %d", e.status) }

// invalidListError reports a response that is not applied because of its body.
type invalidListError struct {
	reason failureReason
	err    error
}

func (e invalidListError) Error() string { return e.err.Error() }
func (e invalidListError) Unwrap() error { return e.err }

// timedOut reports whether a call failed because no response arrived, or no connection was established, in time.
func timedOut(err error) bool {
	var timeout interface{ Timeout() bool } // fasthttp's timeout error does not implement net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// poll requests the complete list and waits for it for at most timeout.
func (c *Client) poll(t *transport, timeout time.Duration) (response, error) {
	return t.get(membersPath, timeout)
}

// watch requests the changes since a revision. Discovery holds the call until there are some.
func (c *Client) watch(t *transport, revision int64) (response, error) {
	return t.get(watchPath(revision, c.intervals.watchHold), c.intervals.watchHold+c.intervals.watchTimeoutMargin)
}

// changesSince requests the changes since a revision without waiting for some.
func (c *Client) changesSince(t *transport, revision int64) (response, error) {
	return t.get(watchPath(revision, 0), c.intervals.callTimeout)
}

// watchPath returns the path of a request for the changes since a revision that discovery may hold for a time.
func watchPath(revision int64, hold time.Duration) string {
	return membersPath + "?from=" + strconv.FormatInt(revision, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
}

// get makes one request. The error wraps a rejectedError if discovery had no capacity.
func (t *transport) get(path string, timeout time.Duration) (response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	uri := "http://" + t.client.Addr + path
	req.SetRequestURI(uri)
	if err := t.client.DoTimeout(req, resp, timeout); err != nil {
		return response{}, fmt.Errorf("%s: %w", membersPath, err)
	}
	parsed, err := parseResponse(resp)
	if err != nil {
		return response{}, fmt.Errorf("%s: %w", membersPath, err)
	}
	return parsed, nil
}

// response is a list as discovery sent it.
type response struct {
	list     List
	rejected []entryError // members that cannot be used
}

// parseResponse returns the list in a response, or an error if the status is not 200 or the body is no list.
func parseResponse(resp *fasthttp.Response) (response, error) {
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
		list, rejected, err := readList(resp.Body())
		if err != nil {
			return response{}, invalidListError{failureNoList, err}
		}
		return response{list, rejected}, nil
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return response{}, fmt.Errorf("status %d: %w", status, rejectedError{parseRetryAfter(&resp.Header)})
	default:
		return response{}, statusError{status}
	}
}

// parseRetryAfter returns the delay in the Retry-After header, which is a number of seconds, with or without decimals, or an HTTP
// date (RFC 9110, section 10.2.3). It returns 0 if the header is missing or invalid, and at most notifyDeadline, since
// intervals.retryDelay does not allow a longer delay anyway.
func parseRetryAfter(h *fasthttp.ResponseHeader) time.Duration {
	value := string(h.Peek(fasthttp.HeaderRetryAfter))
	if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 {
		return time.Duration(min(seconds, notifyDeadline.Seconds()) * float64(time.Second))
	}
	if date, err := fasthttp.ParseHTTPDate([]byte(value)); err == nil {
		return min(notifyDeadline, max(0, time.Until(date)))
	}
	return 0
}
