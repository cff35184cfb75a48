package front

import (
	"slices"
	"strings"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/target"
)

// mappingClasses are the classes of the tests of the mapping.
var mappingClasses = map[string]balancer.Class{
	"look":  {Name: "look", TotalTimeout: 900},
	"store": {Name: "store", TotalTimeout: 900, Idempotency: balancer.IdempotentWithKey},
}

// deviceMessage returns a device's message with a path and queries.
func deviceMessage(code codes.Code, path, queries []string) *message.Message {
	m := &message.Message{Code: code}
	for _, segment := range path {
		m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte(segment)})
	}
	for _, query := range queries {
		m.Options = m.Options.Add(message.Option{ID: message.URIQuery, Value: []byte(query)})
	}
	return m
}

// A space in a device's query became a plus sign, which a server reads as one, and separators within a value came out in another form. A
// server must get the device's own path and queries: as target if it speaks HTTP, as the same options if it speaks CoAP.
func TestServerGetsPathAndQueriesOfDevice(t *testing.T) {
	for want, c := range map[string]struct{ path, queries []string }{
		"/look?x=a%20b":                 {[]string{"look"}, []string{"x=a b"}},
		"/look?x=1+2&q=/?":              {[]string{"look"}, []string{"x=1+2", "q=/?"}},
		"/look/a;b,c":                   {[]string{"look", "a;b,c"}, nil},
		"/look?x=a%26b=c&&y":            {[]string{"look"}, []string{"x=a&b=c", "", "y"}},
		"/look/a%2Fb//c/?w=7&w=7&y=":    {[]string{"look", "a/b", "", "c", ""}, []string{"w=7", "w=7", "y="}},
		"/look/a..?w=%25":               {[]string{"look", "a.."}, []string{"w=%"}},
		"/look/%C3%A9?caf%C3%A9=%C3%A9": {[]string{"look", "é"}, []string{"café=é"}},
	} {
		mapped, rejected := mapRequest(deviceMessage(codes.GET, c.path, append([]string{"tenant=acme"}, c.queries...)), mappingClasses)
		if rejected != nil || mapped.uri != want || mapped.tenant != "acme" {
			t.Errorf("%q %q: uri %q, tenant %q, rejection %v, want %q", c.path, c.queries, mapped.uri, mapped.tenant, rejected, want)
			continue
		}
		back, err := target.Parse([]byte(mapped.uri))
		if err != nil || !slices.Equal(back.Path, c.path) || !slices.Equal(back.Queries, c.queries) {
			t.Errorf("%q %q: a CoAP server gets %q, error %v", c.path, c.queries, back, err)
		}
	}
}

// A device's path .. reached another class at a server, and its key reached a server without the spaces at its ends: two keys became one. What
// the standard or a header field does not permit is rejected, before anything runs.
func TestMessageThatCannotGoOnUnchangedIsRejected(t *testing.T) {
	long := strings.Repeat("a", target.MaxOptionBytes+1)
	for name, c := range map[string]struct {
		path, queries []string
		want          codes.Code
	}{
		"dot segments":      {[]string{"store", "..", "bill"}, []string{"key=k"}, codes.BadRequest},
		"dot segment":       {[]string{"store", "."}, []string{"key=k"}, codes.BadRequest},
		"no UTF-8":          {[]string{"store", "\xff"}, []string{"key=k"}, codes.BadRequest},
		"long segment":      {[]string{"store", long}, []string{"key=k"}, codes.BadOption},
		"long query":        {[]string{"store"}, []string{"key=k", long}, codes.BadOption},
		"space in front":    {[]string{"store"}, []string{"key= k"}, codes.BadRequest},
		"space behind":      {[]string{"store"}, []string{"key=k "}, codes.BadRequest},
		"line break":        {[]string{"store"}, []string{"key=k\nX-Retry: 1"}, codes.BadRequest},
		"control character": {[]string{"store"}, []string{"key=k", "tenant=\x7f"}, codes.BadRequest},
		"two keys":          {[]string{"store"}, []string{"key=k", "key=l"}, codes.BadRequest},
	} {
		if mapped, rejected := mapRequest(deviceMessage(codes.POST, c.path, c.queries), mappingClasses); rejected == nil || rejected.code != c.want {
			t.Errorf("%s: mapped to %+v, rejection %v, want code %v", name, mapped, rejected, c.want)
		}
	}
	// The nearest lawful message.
	mapped, rejected := mapRequest(deviceMessage(codes.POST, []string{"store", "..."}, []string{"key=k \tl", long[1:]}), mappingClasses)
	if rejected != nil || mapped.idempotencyKey != "k \tl" || mapped.uri != "/store/...?"+long[1:] {
		t.Errorf("mapped to %+v, rejection %v, want the key and the target unchanged", mapped, rejected)
	}
}
