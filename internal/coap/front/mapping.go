package front

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/wire"
)

// The queries that are the node's own; all others go on to the server as they came.
const (
	queryKey    = "key"    // of a keyed class
	queryTenant = "tenant" //
	queryWait   = "wait"   // milliseconds that the device waits; without it the class's hard limit
	queryRetry  = "retry"  // 1: the device tries again
	queryHint   = "hint"   // microseconds of work, guessed
)

// call is a request in the terms of the exchange's stages. How each part is found is written down in docs/coap.md.
type call struct {
	class  balancer.Class
	method string
	uri    string // path and the queries that go on
	key    string
	tenant string
	wait   string
	hint   string
	retry  bool
}

// refusal is why a message is no call: the answer's code, and a text for whoever debugs the device.
type refusal struct {
	code codes.Code
	text string
}

func refuse(code codes.Code, format string, args ...any) *refusal {
	return &refusal{code, fmt.Sprintf(format, args...)}
}

// proxying are the options that ask for a forward proxy.
var proxying = map[message.OptionID]bool{message.ProxyURI: true, message.ProxyScheme: true}

// understood are the critical options that the front knows: those with odd numbers, on which it must not guess.
var understood = map[message.OptionID]bool{message.URIHost: true, message.URIPort: true, message.URIPath: true, message.URIQuery: true,
	message.Block1: true, message.Block2: true, message.Accept: true}

// mapCall reads a message as a call. It is pure.
func mapCall(m *message.Message, classes map[string]balancer.Class) (call, *refusal) {
	for _, o := range m.Options {
		switch {
		case proxying[o.ID]:
			return call{}, refuse(codes.ProxyingNotSupported, "no proxy")
		case o.ID%2 == 1 && !understood[o.ID]:
			return call{}, refuse(codes.BadOption, "critical option %d", o.ID)
		}
	}
	path := wire.Strings(m, message.URIPath)
	if len(path) == 0 {
		return call{}, refuse(codes.NotFound, "no path")
	}
	class, ok := classes[path[0]]
	if !ok {
		return call{}, refuse(codes.NotFound, "no class %q", path[0])
	}
	c := call{class: class, wait: strconv.FormatInt(max(1, int64(class.TotalTimeout)), 10)}
	if class.TotalTimeout <= 0 {
		c.wait = ""
	}
	switch {
	case class.Idempotency == balancer.Idempotent && m.Code == codes.GET:
		c.method = "GET"
	case class.Idempotency != balancer.Idempotent && (m.Code == codes.POST || m.Code == codes.PUT):
		c.method = "POST"
	default:
		return call{}, refuse(codes.MethodNotAllowed, "%v on %s", m.Code, class.Name)
	}
	c.uri = c.queries(path, wire.Strings(m, message.URIQuery))
	switch {
	case class.Idempotency == balancer.IdempotentWithKey && c.key == "":
		return call{}, refuse(codes.BadRequest, "no key")
	case c.wait == "":
		return call{}, refuse(codes.BadRequest, "no wait")
	case strings.ContainsAny(c.key+c.tenant+c.wait+c.hint, "\r\n\x00"):
		return call{}, refuse(codes.BadRequest, "control characters")
	}
	return c, nil
}

// queries takes our own queries out and gives the URI that goes on.
func (c *call) queries(path, queries []string) string {
	var rest []string
	for _, q := range queries {
		name, value, _ := strings.Cut(q, "=")
		switch name {
		case queryKey:
			c.key = value
		case queryTenant:
			c.tenant = value
		case queryWait:
			c.wait = value
		case queryHint:
			c.hint = value
		case queryRetry:
			c.retry = value == "1"
		default:
			rest = append(rest, escape(name, value, strings.Contains(q, "=")))
		}
	}
	for i, p := range path {
		path[i] = url.PathEscape(p)
	}
	uri := "/" + strings.Join(path, "/")
	if len(rest) > 0 {
		uri += "?" + strings.Join(rest, "&")
	}
	return uri
}

func escape(name, value string, both bool) string {
	if !both {
		return url.QueryEscape(name)
	}
	return url.QueryEscape(name) + "=" + url.QueryEscape(value)
}

// answerCode is the code for an exchange's ending: the status that an HTTP client would get.
func answerCode(status int, method string) codes.Code {
	switch {
	case status == 200 && method == "GET":
		return codes.Content
	case status == 200:
		return codes.Changed
	case status == 503 || status == 429:
		return codes.ServiceUnavailable
	case status == 504:
		return codes.GatewayTimeout
	case status == 405:
		return codes.MethodNotAllowed
	case status >= 400 && status < 500:
		return codes.BadRequest
	}
	return codes.BadGateway
}
