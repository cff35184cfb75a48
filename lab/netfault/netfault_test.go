package netfault

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"testing"
	"time"
)

const patience = 10 * time.Second

// The delay of segments follows from loss and timeout; the order is kept; one seed gives one sequence of delays.
func TestShaper(t *testing.T) {
	p := Impairment{Loss: 0.1, RTO: 300 * time.Millisecond, Delay: 50 * time.Millisecond, Jitter: 20 * time.Millisecond}
	a, b := NewShaper(p, 3, 1), NewShaper(p, 3, 1)
	late, last := 0, time.Duration(0)
	const n = 20000
	for i := range n {
		now := time.Duration(i) * 10 * time.Second // far enough apart for no segment to wait behind another
		at := a.SegmentArrival(now, 100)
		if at != b.SegmentArrival(now, 100) {
			t.Fatal("one seed gave two schedules")
		}
		if at < last {
			t.Fatal("segments out of order")
		}
		last = at
		if d := at - now; d < p.Delay {
			t.Fatalf("delay %v is below the link's", d)
		} else if d > p.Delay+p.Jitter {
			late++
		}
	}
	if share := float64(late) / n; math.Abs(share-p.Loss) > 0.01 {
		t.Errorf("%v of the segments were sent again, want %v", share, p.Loss)
	}
	lost := 0
	for range n {
		if _, gone := a.DatagramArrival(0, 100); gone {
			lost++
		}
	}
	if share := float64(lost) / n; math.Abs(share-p.Loss) > 0.01 {
		t.Errorf("%v of the datagrams were lost, want %v", share, p.Loss)
	}
	narrow := NewShaper(Impairment{Bandwidth: 10_000}, 1, 1)
	if at := narrow.SegmentArrival(0, 5000); at != 500*time.Millisecond {
		t.Errorf("5,000 bytes at 10,000 a second are there after %v", at)
	}
	if at := narrow.SegmentArrival(0, 5000); at != time.Second {
		t.Errorf("what follows waits for the line: %v, want 1s", at)
	}
}

// relayed connects through a relay with a link, and gives both ends.
//
// The relay's own sockets stand on the loopback interface.
func relayed(t *testing.T, l *Link) (client, server *net.TCPConn) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	r, err := NewRelay("127.0.0.1:0", target.Addr().String(), l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	s, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = s.Close() })
	for _, x := range []net.Conn{c, s} {
		_ = x.SetDeadline(time.Now().Add(patience))
	}
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// Bytes arrive whole and in order in both directions over a bad link, and each half-close arrives once, after them.
func TestRelayPreservesBytesAndHalfCloses(t *testing.T) {
	p := Impairment{Delay: 5 * time.Millisecond, Jitter: 5 * time.Millisecond, Loss: 0.01}
	client, server := relayed(t, NewLink(p, p, 1))
	up, down := bytes.Repeat([]byte("upwards "), 20_000), bytes.Repeat([]byte("down "), 30_000)
	go func() {
		_, _ = client.Write(up)
		_ = client.CloseWrite()
	}()
	got, err := io.ReadAll(server) // ends only at the half-close
	if err != nil || !bytes.Equal(got, up) {
		t.Fatalf("upwards: %d bytes of %d, %v", len(got), len(up), err)
	}
	go func() { // the other direction goes on after the first has ended
		_, _ = server.Write(down)
		_ = server.CloseWrite()
	}()
	if got, err = io.ReadAll(client); err != nil || !bytes.Equal(got, down) {
		t.Fatalf("downwards: %d bytes of %d, %v", len(got), len(down), err)
	}
}

// A link delays what passes, and a stall holds it back until its end without breaking a connection.
func TestDelayAndStall(t *testing.T) {
	l := NewLink(Impairment{Delay: 60 * time.Millisecond}, Impairment{Delay: 60 * time.Millisecond}, 1)
	client, server := relayed(t, l)
	ask := func() time.Duration {
		began := time.Now()
		_, _ = client.Write([]byte("ping"))
		buf := make([]byte, 4)
		if _, err := io.ReadFull(server, buf); err != nil {
			t.Fatal(err)
		}
		_, _ = server.Write(buf)
		if _, err := io.ReadFull(client, buf); err != nil {
			t.Fatal(err)
		}
		return time.Since(began)
	}
	if d := ask(); d < 120*time.Millisecond {
		t.Errorf("there and back took %v, the link alone takes 120ms", d)
	}
	l.Stall(true)
	_, _ = client.Write([]byte("ping"))
	_ = server.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	if n, err := server.Read(make([]byte, 4)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a stalled link passed %d bytes, %v", n, err)
	}
	l.Stall(false)
	_ = server.SetReadDeadline(time.Now().Add(patience))
	if _, err := io.ReadFull(server, make([]byte, 4)); err != nil {
		t.Errorf("what was sent during the stall never came: %v", err)
	}
}

// A reset of the link breaks all of its open connections.
func TestResetBreaksOpenConnections(t *testing.T) {
	l := NewLink(Impairment{Delay: time.Millisecond}, Impairment{}, 1)
	client, server := relayed(t, l)
	_, _ = client.Write([]byte("x"))
	if _, err := io.ReadFull(server, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if n := l.Reset(); n != 1 {
		t.Errorf("%d connections reset, want 1", n)
	}
	if _, err := client.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection stands after its reset: %v", err)
	}
}

// Datagrams are lost and delayed by the link's impairment.
func TestDatagramsAreLostAndDelayed(t *testing.T) {
	a, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Close(); _ = b.Close() }()
	w := NewLink(Impairment{Loss: 0.5, Delay: 30 * time.Millisecond}, Impairment{}, 5).WrapPacket(a)
	want, shaper := 0, NewShaper(Impairment{Loss: 0.5, Delay: 30 * time.Millisecond}, 5, 2)
	began := time.Now()
	for range 200 {
		if _, lost := shaper.DatagramArrival(0, 1); !lost {
			want++
		}
		if _, err := w.WriteTo([]byte("x"), b.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	buf := make([]byte, 8)
	for i := range want {
		_ = b.SetReadDeadline(time.Now().Add(patience))
		if _, _, err := b.ReadFrom(buf); err != nil {
			t.Fatalf("datagram %d of %d never came: %v", i, want, err)
		}
		if i == 0 && time.Since(began) < 30*time.Millisecond {
			t.Error("the first came before the link's delay")
		}
	}
	_ = b.SetReadDeadline(time.Now().Add(60 * time.Millisecond))
	if _, _, err := b.ReadFrom(buf); err == nil {
		t.Error("a datagram came that the seed loses")
	}
}

// A deadline in the past is set while a read waits, which is how a caller that is cancelled ends it. The read must return, as one of a
// socket does.
func TestDeadlineEndsAReadThatWaits(t *testing.T) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	conn := NewLink(Impairment{}, Impairment{}, 1).WrapPacket(socket)
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	ended := make(chan error, 1)
	go func() {
		_, _, err := conn.ReadFrom(make([]byte, 1))
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond)
	_ = conn.SetReadDeadline(time.Unix(0, 0))
	select {
	case err := <-ended:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%v, want the deadline's error", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the read goes on")
	}
}
