package front

import (
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/dedup"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/proxy"
)

// sink is a socket that counts what is sent.
type sink struct {
	net.PacketConn
	sent int
}

func (s *sink) WriteTo(b []byte, _ net.Addr) (int, error) { s.sent++; return len(b), nil }

// desk serves everything at once.
type desk struct{}

func (desk) Serve(ctx *fasthttp.RequestCtx, _ proxy.Client) { ctx.SetBodyString("served") }

func newFront(tb testing.TB) (*Server, *sink, *counters.Coap) {
	tb.Helper()
	count, out := &counters.Coap{}, &sink{}
	small := blocks.Limits{MaxTransfers: 4, MaxPerEndpoint: 2, MaxBytes: 4096, MaxBodyBytes: 2048, IdleTimeout: time.Minute}
	f, err := New(out, Options{Handler: desk{}, Classes: []balancer.Class{{Name: "look", TotalTimeout: 500}, {Name: "bill", Idempotency: balancer.NonIdempotent, TotalTimeout: 500}},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: count, MaxInFlight: 8, Dedup: dedup.Limits{MaxEntries: 32, MaxBytes: 64 << 10, MaxPerEndpoint: 16},
		Uploads: small, Downloads: small})
	if err != nil {
		tb.Fatal(err)
	}
	return f, out, count
}

// FuzzDatagrams feeds rows of datagrams: nothing panics, and every bound holds.
func FuzzDatagrams(f *testing.F) {
	get := []byte{0x41, 1, 0, 1, 'x', 0xb4, 'l', 'o', 'o', 'k'}
	f.Add(get, []byte{0x40, 0, 0, 1})
	f.Add([]byte{0x41, 2, 0, 2, 'y', 0xb4, 'b', 'i', 'l', 'l', 0xff, 'a'}, get)
	f.Add([]byte{0x40, 2, 0, 3, 0xb4, 'b', 'i', 'l', 'l', 0xd1, 3, 0x08, 0xff, 1, 2, 3}, []byte{0x60, 0, 0, 3})
	f.Fuzz(func(t *testing.T, a, b []byte) {
		front, _, count := newFront(t)
		from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:9"))
		for _, d := range [][]byte{a, b, a, b} {
			front.datagram(append([]byte(nil), d...), from)
		}
		front.working.Wait()
		front.mu.Lock()
		defer front.mu.Unlock()
		if front.table.Len() > 32 || front.uploads.Bytes() > 4096 || len(front.waiting) > waitingMost {
			t.Fatalf("%d exchanges, %d bytes half sent", front.table.Len(), front.uploads.Bytes())
		}
		if count.Panics.Get() > 0 {
			t.Fatalf("a panic at %x %x", a, b)
		}
		for _, d := range [][]byte{a, b} {
			if h, err := wire.ParseHeader(d); err == nil && h.Code == 0 && h.Type == wire.Con && count.Pings.Get() == 0 {
				t.Fatalf("a ping was not seen in %x", d)
			}
		}
	})
}

func TestRateByPrefix(t *testing.T) {
	l := newLimiter(10)
	a, b := netip.MustParsePrefix("10.0.0.0/24"), netip.MustParsePrefix("10.0.1.0/24")
	passed := 0
	for range 100 {
		if l.allow(0, a) {
			passed++
		}
	}
	if passed != 5 || !l.allow(0, b) {
		t.Errorf("%d of a burst passed, want half a second's five; another prefix has its own", passed)
	}
	if !l.allow(100*time.Millisecond, a) || l.allow(100*time.Millisecond, a) {
		t.Error("a tenth of a second is worth one datagram")
	}
	for i := range 3 * limitsMost {
		l.allow(0, netip.PrefixFrom(netip.AddrFrom4([4]byte{11, byte(i >> 8), byte(i), 0}), 24))
		if len(l.buckets) > limitsMost {
			t.Fatalf("%d prefixes are remembered", len(l.buckets))
		}
	}
}

func TestSectionIsChecked(t *testing.T) {
	for _, bad := range []Config{{}, {Listen: "host:1"}, {Listen: "127.0.0.1:1", MaxInFlight: 1, MaxExchanges: 1, MaxExchangesPerEndpoint: 1, MaxUploads: 1, Memory: 10}} {
		if len(check(&bad)) == 0 {
			t.Errorf("%+v was taken", bad)
		}
	}
	good := Subsystem().Section.New().(*Config)
	good.Listen = "[::1]:5683"
	if faults := check(good); len(faults) > 0 {
		t.Errorf("the defaults: %v", faults)
	}
}
