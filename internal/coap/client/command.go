package client

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/internal/cli"
)

// Command is tackhub coap.
func Command() cli.Command {
	out := cli.Command{Name: "coap", Help: "Ask a CoAP server: get, post or put a URI"}
	for _, method := range []struct {
		name string
		code codes.Code
	}{{"get", codes.GET}, {"post", codes.POST}, {"put", codes.PUT}} {
		name, code := method.name, method.code
		var body string
		var loss float64
		var dup int
		var wait time.Duration
		out.Subcommands = append(out.Subcommands, cli.Command{Name: name, ArgsUsage: "coap://ADDRESS:PORT/CLASS?QUERY", Help: "Send one request and print the answer",
			Flags: func(f *flag.FlagSet) {
				f.StringVar(&body, "body", "", "the `TEXT` to send")
				f.Float64Var(&loss, "loss", 0, "`SHARE` of datagrams to lose, both ways")
				f.IntVar(&dup, "dup", 0, "send every message `N` times more")
				f.DurationVar(&wait, "wait", 30*time.Second, "give up after `TIME`")
			}, Run: func(args []string, w io.Writer) error {
				if len(args) != 1 {
					return errors.New("one URI is wanted")
				}
				return ask(w, code, args[0], body, loss, dup, wait)
			}})
	}
	return out
}

func ask(w io.Writer, code codes.Code, uri, body string, loss float64, dup int, wait time.Duration) error {
	u, err := url.Parse(uri)
	if err != nil || u.Scheme != "coap" || u.Host == "" {
		return fmt.Errorf("%q is no URI such as coap://127.0.0.1:5683/still", uri)
	}
	host := u.Host
	if u.Port() == "" {
		host = net.JoinHostPort(u.Hostname(), "5683")
	}
	to, err := net.ResolveUDPAddr("udp", host)
	if err != nil {
		return err
	}
	var conn net.PacketConn
	if conn, err = net.ListenPacket("udp", ":0"); err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if loss > 0 {
		conn = lossy{conn, loss}
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r := Request{Code: code, Path: u.Path, Body: []byte(body)}
	if u.RawQuery != "" {
		r.Query = splitQuery(u.RawQuery)
	}
	began := time.Now()
	got, err := New(conn, to, Options{Duplicates: dup}).Do(ctx, r)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "%v in %v, %d bytes", got.Code, time.Since(began).Round(time.Millisecond), len(got.Body))
	if got.MaxAge > 0 {
		_, _ = fmt.Fprintf(w, ", come back after %d s", got.MaxAge)
	}
	_, _ = fmt.Fprintf(w, "\n%s\n", got.Body)
	return nil
}

// lossy loses a share of the datagrams, both ways.
type lossy struct {
	net.PacketConn
	share float64
}

// WriteTo sends, or loses.
func (l lossy) WriteTo(b []byte, to net.Addr) (int, error) {
	if rand.Float64() < l.share {
		return len(b), nil
	}
	return l.PacketConn.WriteTo(b, to)
}

// ReadFrom receives what is not lost.
func (l lossy) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := l.PacketConn.ReadFrom(b)
		if err != nil || rand.Float64() >= l.share {
			return n, from, err
		}
	}
}

// splitQuery cuts a query at its ampersands, each part unescaped as CoAP's options hold it.
func splitQuery(raw string) []string {
	var out []string
	for _, part := range strings.Split(raw, "&") {
		if text, err := url.QueryUnescape(part); err == nil {
			part = text
		}
		out = append(out, part)
	}
	return out
}
