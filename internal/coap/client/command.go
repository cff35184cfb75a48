package client

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/cli"
)

// defaultPort is the default port of CoAP (RFC 7252, 6.1).
const defaultPort = "5683"

// defaultTimeout is the default of --wait, the time that the command waits for a response.
const defaultTimeout = 30 * time.Second

// Command returns the command tackhub coap, with one subcommand per method.
func Command() cli.Command {
	command := cli.Command{Name: "coap", Help: "Send a CoAP request: get, post or put a URI"}
	for _, method := range []struct {
		name string
		code codes.Code
	}{
		{"get", codes.GET},
		{"post", codes.POST},
		{"put", codes.PUT},
	} {
		command.Subcommands = append(command.Subcommands, methodCommand(method.name, method.code))
	}
	return command
}

// invocation holds the arguments of a subcommand.
type invocation struct {
	method     codes.Code
	uri        string
	body       string
	loss       float64       // fraction of the datagrams that are dropped, in both directions
	duplicates int           // number of additional copies of each message
	timeout    time.Duration // for the response
}

// methodCommand returns the subcommand for a method.
func methodCommand(name string, code codes.Code) cli.Command {
	i := invocation{method: code}
	return cli.Command{
		Name:      name,
		ArgsUsage: "coap://ADDRESS:PORT/CLASS?QUERY",
		Help:      "Send one request and print the response",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&i.body, "body", "", "send `TEXT` as the body of the request")
			f.Float64Var(&i.loss, "loss", 0, "drop this `FRACTION` of datagrams, in both directions")
			f.IntVar(&i.duplicates, "dup", 0, "send `N` additional copies of every message")
			f.DurationVar(&i.timeout, "wait", defaultTimeout, "stop waiting for a response after `TIME`")
		},
		Run: func(args []string, w io.Writer) error {
			if len(args) != 1 {
				return errors.New("expected exactly one URI as argument")
			}
			i.uri = args[0]
			return i.run(w)
		},
	}
}

// run sends the request and prints the response.
func (i invocation) run(w io.Writer) error {
	uri, err := url.Parse(i.uri)
	if err != nil || uri.Scheme != "coap" || uri.Host == "" {
		return fmt.Errorf("%q is not a CoAP URI such as coap://127.0.0.1:5683/still", i.uri)
	}
	server, err := net.ResolveUDPAddr("udp", hostPort(uri))
	if err != nil {
		return err
	}
	conn, err := net.ListenPacket("udp", ":0")
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if i.loss > 0 {
		conn = lossyConn{conn, i.loss}
	}
	ctx, cancel := context.WithTimeout(context.Background(), i.timeout)
	defer cancel()
	request := Request{Code: i.method, Path: uri.Path, Query: splitQuery(uri.RawQuery), Body: []byte(i.body)}
	started := time.Now()
	response, err := New(conn, server, Options{Duplicates: i.duplicates}).Do(ctx, request)
	if err != nil {
		return err
	}
	printResponse(w, response, time.Since(started))
	return nil
}

// printResponse prints a response and how long it took.
func printResponse(w io.Writer, response Response, elapsed time.Duration) {
	_, _ = fmt.Fprintf(w, "%v in %v, %d bytes", response.Code, elapsed.Round(time.Millisecond), len(response.Body))
	if response.MaxAge > 0 {
		_, _ = fmt.Fprintf(w, ", Max-Age %d s", response.MaxAge)
	}
	_, _ = fmt.Fprintf(w, "\n%s\n", response.Body)
}

// hostPort returns the host and port of a URI, with the default port of CoAP if the URI has none.
func hostPort(uri *url.URL) string {
	if uri.Port() == "" {
		return net.JoinHostPort(uri.Hostname(), defaultPort)
	}
	return uri.Host
}

// splitQuery splits a query at its ampersands and unescapes each part, as CoAP options require. An empty query has no
// parts.
func splitQuery(raw string) []string {
	if raw == "" {
		return nil
	}
	parts := strings.Split(raw, "&")
	for i, part := range parts {
		if unescaped, err := url.QueryUnescape(part); err == nil {
			parts[i] = unescaped
		}
	}
	return parts
}
