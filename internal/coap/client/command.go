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

// defaultPort is CoAP's (RFC 7252, 6.1).
const defaultPort = "5683"

// defaultWait is how long the command waits for a response unless --wait says otherwise.
const defaultWait = 30 * time.Second

// Command is the command tackhub coap, with a subcommand for each method.
func Command() cli.Command {
	command := cli.Command{Name: "coap", Help: "Ask a CoAP server: get, post or put a URI"}
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

// invocation is what the arguments of a subcommand ask for.
type invocation struct {
	method     codes.Code
	uri        string
	body       string
	loss       float64       // share of the datagrams that are dropped, both ways
	duplicates int           // how many times more each message is sent
	wait       time.Duration // for the response
}

// methodCommand is the subcommand of a method.
func methodCommand(name string, code codes.Code) cli.Command {
	i := invocation{method: code}
	return cli.Command{
		Name:      name,
		ArgsUsage: "coap://ADDRESS:PORT/CLASS?QUERY",
		Help:      "Send one request and print the answer",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&i.body, "body", "", "the `TEXT` to send")
			f.Float64Var(&i.loss, "loss", 0, "`SHARE` of datagrams to lose, both ways")
			f.IntVar(&i.duplicates, "dup", 0, "send every message `N` times more")
			f.DurationVar(&i.wait, "wait", defaultWait, "give up after `TIME`")
		},
		Run: func(args []string, w io.Writer) error {
			if len(args) != 1 {
				return errors.New("one URI is wanted")
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
		return fmt.Errorf("%q is no URI such as coap://127.0.0.1:5683/still", i.uri)
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
	ctx, cancel := context.WithTimeout(context.Background(), i.wait)
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

// printResponse writes a response and how long it took.
func printResponse(w io.Writer, response Response, took time.Duration) {
	_, _ = fmt.Fprintf(w, "%v in %v, %d bytes", response.Code, took.Round(time.Millisecond), len(response.Body))
	if response.MaxAge > 0 {
		_, _ = fmt.Fprintf(w, ", come back after %d s", response.MaxAge)
	}
	_, _ = fmt.Fprintf(w, "\n%s\n", response.Body)
}

// hostPort is the address of a URI, with CoAP's port where it names none.
func hostPort(uri *url.URL) string {
	if uri.Port() == "" {
		return net.JoinHostPort(uri.Hostname(), defaultPort)
	}
	return uri.Host
}

// splitQuery splits a query at its ampersands and unescapes each part, as CoAP's options hold it. An empty query has no part.
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
