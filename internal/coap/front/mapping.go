package front

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/target"
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

// deleteCharacter is the control character above the printable ones of ASCII.
const deleteCharacter = 0x7f

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
	queries := wire.Strings(m, message.URIQuery)
	if rejected := checkOptions(target.Options{Path: path, Queries: queries}); rejected != nil {
		return mappedRequest{}, rejected
	}
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
	forwarded, rejected := mapped.parseQueries(queries)
	if rejected != nil {
		return mappedRequest{}, rejected
	}
	mapped.uri = target.Options{Path: path, Queries: forwarded}.String()
	switch {
	case class.Idempotency == balancer.IdempotentWithKey && mapped.idempotencyKey == "":
		return mappedRequest{}, reject(codes.BadRequest, "no key")
	case mapped.deadline == "":
		return mappedRequest{}, reject(codes.BadRequest, "no wait")
	}
	return mapped, nil
}

// checkOptions returns the reason for rejecting a message whose path or queries the standard does not permit. An option of a wrong length
// counts as one that is not supported (RFC 7252, 5.4.3).
func checkOptions(o target.Options) *rejection {
	err := o.Check()
	switch {
	case err == nil:
		return nil
	case errors.Is(err, target.ErrOptionLength):
		return reject(codes.BadOption, "%v", err)
	}
	return reject(codes.BadRequest, "%v", err)
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

// parseQueries stores the values of the queries that the node reads, and returns all others. Each that the node reads may occur once, and
// its value must be one that a header field can hold unchanged.
func (m *mappedRequest) parseQueries(queries []string) (forwarded []string, rejected *rejection) {
	seen := map[string]bool{}
	for _, query := range queries {
		name, value, _ := strings.Cut(query, "=")
		store := m.queryField(name)
		switch {
		case store == nil:
			forwarded = append(forwarded, query)
			continue
		case seen[name]:
			return nil, reject(codes.BadRequest, "query %s occurs twice", name)
		case !isFieldValue(value):
			return nil, reject(codes.BadRequest, "query %s begins or ends with a space or has control characters", name)
		}
		seen[name] = true
		store(value)
	}
	return forwarded, nil
}

// queryField returns a function that stores the value of a query that the node reads; nil for any other query.
func (m *mappedRequest) queryField(name string) func(value string) {
	switch name {
	case queryKey:
		return func(value string) { m.idempotencyKey = value }
	case queryTenant:
		return func(value string) { m.tenant = value }
	case queryDeadline:
		return func(value string) { m.deadline = value }
	case queryCostHint:
		return func(value string) { m.costHint = value }
	case queryRetry:
		return func(value string) { m.retry = value == "1" }
	}
	return nil
}

// isFieldValue reports whether a header field can hold a value unchanged (RFC 9110, 5.5).
func isFieldValue(value string) bool {
	isControl := func(r rune) bool { return r < ' ' && r != '\t' || r == deleteCharacter }
	return strings.Trim(value, " \t") == value && !strings.ContainsFunc(value, isControl)
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
