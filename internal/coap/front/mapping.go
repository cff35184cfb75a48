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

// The queries that are for the node. All others are forwarded as they came.
const (
	queryKey      = "key"    // idempotency key of a class that needs one
	queryTenant   = "tenant" // tenant
	queryDeadline = "wait"   // milliseconds that the device waits; without it the class's total timeout
	queryRetry    = "retry"  // 1: the device tries again
	queryCostHint = "hint"   // microseconds of work, guessed
)

// mappedRequest is a request in HTTP's terms. docs/coap.md says how each part is found.
type mappedRequest struct {
	class    balancer.Class
	method   string
	uri      string // the path, and the queries that are forwarded
	key      string // "": none
	tenant   string
	deadline string // milliseconds, as the device wrote them
	costHint string // microseconds, as the device wrote them; "": none
	retry    bool
}

// rejection is why a message cannot be mapped: the response's code, and a text for whoever debugs the device.
type rejection struct {
	code codes.Code
	text string
}

// reject makes a rejection.
func reject(code codes.Code, format string, args ...any) *rejection {
	return &rejection{code: code, text: fmt.Sprintf(format, args...)}
}

// proxyOptions ask for a forward proxy.
var proxyOptions = map[message.OptionID]bool{
	message.ProxyURI:    true,
	message.ProxyScheme: true,
}

// criticalOptions are the critical options that are understood. A request with another one must be rejected (RFC 7252, 5.4.1).
var criticalOptions = map[message.OptionID]bool{
	message.URIHost:  true,
	message.URIPort:  true,
	message.URIPath:  true,
	message.URIQuery: true,
	message.Block1:   true,
	message.Block2:   true,
	message.Accept:   true,
}

// isCritical reports whether whoever does not understand an option must reject the request: its number is odd.
func isCritical(id message.OptionID) bool { return id%2 == 1 }

// mapRequest maps a message to a request in HTTP's terms, or gives the reason why it cannot be. It is pure.
func mapRequest(m *message.Message, classes map[string]balancer.Class) (mappedRequest, *rejection) {
	for _, option := range m.Options {
		switch {
		case proxyOptions[option.ID]:
			return mappedRequest{}, reject(codes.ProxyingNotSupported, "no proxy")
		case isCritical(option.ID) && !criticalOptions[option.ID]:
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
	forwarded := mapped.takeQueries(wire.Strings(m, message.URIQuery))
	mapped.uri = buildURI(path, forwarded)
	switch {
	case class.Idempotency == balancer.IdempotentWithKey && mapped.key == "":
		return mappedRequest{}, reject(codes.BadRequest, "no key")
	case mapped.deadline == "":
		return mappedRequest{}, reject(codes.BadRequest, "no wait")
	case strings.ContainsAny(mapped.key+mapped.tenant+mapped.deadline+mapped.costHint, "\r\n\x00"):
		return mappedRequest{}, reject(codes.BadRequest, "control characters")
	}
	return mapped, nil
}

// mapMethod is the HTTP method of a request to a class; false where the class does not take the code.
func mapMethod(code codes.Code, class balancer.Class) (string, bool) {
	if class.Idempotency == balancer.Idempotent {
		return fasthttp.MethodGet, code == codes.GET
	}
	return fasthttp.MethodPost, code == codes.POST || code == codes.PUT
}

// defaultDeadline is the deadline of a request that names none, in milliseconds; "" for a class without a total timeout.
func defaultDeadline(class balancer.Class) string {
	if class.TotalTimeout <= 0 {
		return ""
	}
	return strconv.FormatInt(max(1, int64(class.TotalTimeout)), 10)
}

// takeQueries reads the queries that are for the node and gives the others, escaped.
func (m *mappedRequest) takeQueries(queries []string) (forwarded []string) {
	for _, query := range queries {
		name, value, hasValue := strings.Cut(query, "=")
		switch name {
		case queryKey:
			m.key = value
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

// escapeQuery writes a query as it stands in a URI.
func escapeQuery(name, value string, hasValue bool) string {
	if !hasValue {
		return url.QueryEscape(name)
	}
	return url.QueryEscape(name) + "=" + url.QueryEscape(value)
}

// buildURI writes a path and escaped queries as a URI.
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

// responseCode is the CoAP code for the status that an HTTP client would get.
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
