package front

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/wire"
)

// The query parameters that the node reads. All others are forwarded unchanged.
const (
	queryKey      = "key"    // idempotency key, for classes that require one
	queryTenant   = "tenant" // tenant of the request
	queryDeadline = "wait"   // milliseconds that the device waits for the response; default: the class's total timeout
	queryRetry    = "retry"  // 1 if the request is a retry by the device
	queryCostHint = "hint"   // estimated work in microseconds
)

// mappedRequest is the HTTP equivalent of a CoAP request. docs/coap.md describes the mapping.
type mappedRequest struct {
	class          balancer.Class
	method         string
	uri            string // path and forwarded queries
	idempotencyKey string // "" if none
	tenant         string
	deadline       string // milliseconds, unparsed
	costHint       string // microseconds, unparsed; "" if none
	retry          bool
}

// rejection is the reason why a message cannot be mapped: the code of the response, and a diagnostic text for the
// developer of the device.
type rejection struct {
	code codes.Code
	text string
}

// reject returns a rejection with a formatted text.
func reject(code codes.Code, format string, args ...any) *rejection {
	return &rejection{code: code, text: fmt.Sprintf(format, args...)}
}

// proxyOptions are the options that ask for a forward proxy, which this server does not provide.
var proxyOptions = map[message.OptionID]bool{
	message.ProxyURI:    true,
	message.ProxyScheme: true,
}

// supportedCriticalOptions are the critical options that this server understands. RFC 7252, 5.4.1 requires that a
// request with any other critical option is rejected.
var supportedCriticalOptions = map[message.OptionID]bool{
	message.URIHost:  true,
	message.URIPort:  true,
	message.URIPath:  true,
	message.URIQuery: true,
	message.Block1:   true,
	message.Block2:   true,
	message.Accept:   true,
}

// isCritical reports whether an option is critical, so that a server that does not understand it must reject the
// request. Critical options have odd numbers.
func isCritical(id message.OptionID) bool { return id%2 == 1 }

// mapRequest converts a message to its HTTP equivalent, or returns the reason for rejecting it. It is pure.
func mapRequest(m *message.Message, classes map[string]balancer.Class) (mappedRequest, *rejection) {
	for _, option := range m.Options {
		switch {
		case proxyOptions[option.ID]:
			return mappedRequest{}, reject(codes.ProxyingNotSupported, "no proxy")
		case isCritical(option.ID) && !supportedCriticalOptions[option.ID]:
			return mappedRequest{}, reject(codes.BadOption, "critical option %d", option.ID)
		}
	}
	path := wire.Strings(m, message.URIPath)
	if len(path) == 0 {
		return mappedRequest{}, reject(codes.NotFound, "no path")
	}
	class, ok := classes[path[0]]
	if !ok {
		return mappedRequest{}, reject(codes.NotFound, "no class %q", path[0])
	}
	method, ok := mapMethod(m.Code, class)
	if !ok {
		return mappedRequest{}, reject(codes.MethodNotAllowed, "%v on %s", m.Code, class.Name)
	}
	mapped := mappedRequest{class: class, method: method, deadline: defaultDeadline(class)}
	forwarded := mapped.parseQueries(wire.Strings(m, message.URIQuery))
	mapped.uri = buildURI(path, forwarded)
	switch {
	case class.Idempotency == balancer.IdempotentWithKey && mapped.idempotencyKey == "":
		return mappedRequest{}, reject(codes.BadRequest, "no key")
	case mapped.deadline == "":
		return mappedRequest{}, reject(codes.BadRequest, "no wait")
	case strings.ContainsAny(mapped.idempotencyKey+mapped.tenant+mapped.deadline+mapped.costHint, "\r\n\x00"):
		return mappedRequest{}, reject(codes.BadRequest, "control characters")
	}
	return mapped, nil
}

// mapMethod returns the HTTP method of a request to a class; false if the class does not accept the CoAP method.
func mapMethod(code codes.Code, class balancer.Class) (string, bool) {
	if class.Idempotency == balancer.Idempotent {
		return fasthttp.MethodGet, code == codes.GET
	}
	return fasthttp.MethodPost, code == codes.POST || code == codes.PUT
}

// defaultDeadline returns the deadline in milliseconds of a request that specifies none, or "" if the class has no
// total timeout.
func defaultDeadline(class balancer.Class) string {
	if class.TotalTimeout <= 0 {
		return ""
	}
	return strconv.FormatInt(max(1, int64(class.TotalTimeout)), 10)
}

// parseQueries stores the values of the queries that the node reads, and returns all others in escaped form.
func (m *mappedRequest) parseQueries(queries []string) (forwarded []string) {
	for _, query := range queries {
		name, value, hasValue := strings.Cut(query, "=")
		switch name {
		case queryKey:
			m.idempotencyKey = value
		case queryTenant:
			m.tenant = value
		case queryDeadline:
			m.deadline = value
		case queryCostHint:
			m.costHint = value
		case queryRetry:
			m.retry = value == "1"
		default:
			forwarded = append(forwarded, escapeQuery(name, value, hasValue))
		}
	}
	return forwarded
}

// escapeQuery escapes a query for use in a URI.
func escapeQuery(name, value string, hasValue bool) string {
	if !hasValue {
		return url.QueryEscape(name)
	}
	return url.QueryEscape(name) + "=" + url.QueryEscape(value)
}

// buildURI builds a URI from the unescaped segments of a path and from escaped queries.
func buildURI(path, queries []string) string {
	segments := make([]string, len(path))
	for i, segment := range path {
		segments[i] = url.PathEscape(segment)
	}
	uri := "/" + strings.Join(segments, "/")
	if len(queries) > 0 {
		uri += "?" + strings.Join(queries, "&")
	}
	return uri
}

// responseCode returns the CoAP code that corresponds to the HTTP status of a response.
func responseCode(status int, method string) codes.Code {
	switch {
	case status == fasthttp.StatusOK && method == fasthttp.MethodGet:
		return codes.Content
	case status == fasthttp.StatusOK:
		return codes.Changed
	case status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests:
		return codes.ServiceUnavailable
	case status == fasthttp.StatusGatewayTimeout:
		return codes.GatewayTimeout
	case status == fasthttp.StatusMethodNotAllowed:
		return codes.MethodNotAllowed
	case status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError:
		return codes.BadRequest
	}
	return codes.BadGateway
}
