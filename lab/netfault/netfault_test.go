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

const testTimeout = 10 * time.Second

// Segments are delayed by loss and retransmission timeout and keep their order. The same seed gives the same delays.
func TestShaperAppliesLossDelayAndBandwidth(t *testing.T) {
	impairment := Impairment{Loss: 0.1, RTO: 300 * time.Millisecond, Delay: 50 * time.Millisecond, Jitter: 20 * time.Millisecond}
	shaper, sameSeed := NewShaper(impairment, 3, 1), NewShaper(impairment, 3, 1)
	retransmitted, previous := 0, time.Duration(0)
	const n = 20000
	for i := range n {
		now := time.Duration(i) * 10 * time.Second // so far apart that no segment delays another
		arrival := shaper.SegmentArrival(now, 100)
		if arrival != sameSeed.SegmentArrival(now, 100) {
			t.Fatal("arrival times differ between shapers with the same seed, want equal")
		}
		if arrival < previous {
			t.Fatalf("segment arrives at %v, want no earlier than the previous one at %v", arrival, previous)
		}
		previous = arrival
		if delay := arrival - now; delay < impairment.Delay {
			t.Fatalf("delay = %v, want at least the delay of the link, %v", delay, impairment.Delay)
		} else if delay > impairment.Delay+impairment.Jitter {
			retransmitted++
		}
	}
	if fraction := float64(retransmitted) / n; math.Abs(fraction-impairment.Loss) > 0.01 {
		t.Errorf("fraction of retransmitted segments = %v, want %v", fraction, impairment.Loss)
	}
	lost := 0
	for range n {
		if _, isLost := shaper.DatagramArrival(0, 100); isLost {
			lost++
		}
	}
	if fraction := float64(lost) / n; math.Abs(fraction-impairment.Loss) > 0.01 {
		t.Errorf("fraction of lost datagrams = %v, want %v", fraction, impairment.Loss)
	}
	slowLine := NewShaper(Impairment{Bandwidth: 10_000}, 1, 1)
	if arrival := slowLine.SegmentArrival(0, 5000); arrival != 500*time.Millisecond {
		t.Errorf("arrival of 5,000 bytes at 10,000 bytes/s = %v, want 500ms", arrival)
	}
	if arrival := slowLine.SegmentArrival(0, 5000); arrival != time.Second {
		t.Errorf("arrival of the next 5,000 bytes = %v, want 1s", arrival)
	}
}

// connectThroughRelay opens a connection through a relay with the given link and returns both ends.
func connectThroughRelay(t *testing.T, l *Link) (client, server *net.TCPConn) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	relay, err := NewRelay("127.0.0.1:0", target.Addr().String(), l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	dialed, err := net.Dial("tcp", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	for _, conn := range []net.Conn{dialed, accepted} {
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
	}
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// All bytes arrive in order in both directions over an impaired link, and each half-close arrives after them.
func TestRelayPreservesBytesAndHalfCloses(t *testing.T) {
	impairment := Impairment{Delay: 5 * time.Millisecond, Jitter: 5 * time.Millisecond, Loss: 0.01}
	client, server := connectThroughRelay(t, NewLink(impairment, impairment, 1))
	up, down := bytes.Repeat([]byte("upwards "), 20_000), bytes.Repeat([]byte("down "), 30_000)
	go func() {
		_, _ = client.Write(up)
		_ = client.CloseWrite()
	}()
	got, err := io.ReadAll(server) // returns only after the half-close
	if err != nil || !bytes.Equal(got, up) {
		t.Fatalf("server read %d bytes and error %v, want the %d bytes that the client sent", len(got), err, len(up))
	}
	go func() { // the other direction must stay open after the half-close of the first
		_, _ = server.Write(down)
		_ = server.CloseWrite()
	}()
	if got, err = io.ReadAll(client); err != nil || !bytes.Equal(got, down) {
		t.Fatalf("client read %d bytes and error %v, want the %d bytes that the server sent", len(got), err, len(down))
	}
}

// A link delays traffic. A stall blocks it until the end of the stall without closing the connection or losing bytes.
func TestLinkDelaysAndStallsTraffic(t *testing.T) {
	l := NewLink(Impairment{Delay: 60 * time.Millisecond}, Impairment{Delay: 60 * time.Millisecond}, 1)
	client, server := connectThroughRelay(t, l)
	roundTrip := func() time.Duration {
		start := time.Now()
		_, _ = client.Write([]byte("ping"))
		buf := make([]byte, 4)
		if _, err := io.ReadFull(server, buf); err != nil {
			t.Fatal(err)
		}
		_, _ = server.Write(buf)
		if _, err := io.ReadFull(client, buf); err != nil {
			t.Fatal(err)
		}
		return time.Since(start)
	}
	if d := roundTrip(); d < 120*time.Millisecond {
		t.Errorf("round trip time = %v, want at least 120ms", d)
	}
	l.Stall(true)
	_, _ = client.Write([]byte("ping"))
	_ = server.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	if n, err := server.Read(make([]byte, 4)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read on a stalled link = %d bytes, error %v, want 0 bytes and a timeout", n, err)
	}
	l.Stall(false)
	_ = server.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(server, make([]byte, 4)); err != nil {
		t.Errorf("reading bytes sent during the stall: error = %v, want nil", err)
	}
}

// Resetting a link resets all of its open connections.
func TestLinkResetBreaksOpenConnections(t *testing.T) {
	l := NewLink(Impairment{Delay: time.Millisecond}, Impairment{}, 1)
	client, server := connectThroughRelay(t, l)
	_, _ = client.Write([]byte("x"))
	if _, err := io.ReadFull(server, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if n := l.Reset(); n != 1 {
		t.Errorf("number of reset connections = %d, want 1", n)
	}
	if _, err := client.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after the reset: error = %v, want a connection error", err)
	}
}

// A packet connection loses and delays datagrams as the impairment of its link specifies.
func TestPacketConnLosesAndDelaysDatagrams(t *testing.T) {
	sender, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	receiver, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = sender.Close(); _ = receiver.Close() }()
	wrapped := NewLink(Impairment{Loss: 0.5, Delay: 30 * time.Millisecond}, Impairment{}, 5).WrapPacket(sender)
	want, shaper := 0, NewShaper(Impairment{Loss: 0.5, Delay: 30 * time.Millisecond}, 5, 2)
	start := time.Now()
	for range 200 {
		if _, lost := shaper.DatagramArrival(0, 1); !lost {
			want++
		}
		if _, err := wrapped.WriteTo([]byte("x"), receiver.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	buf := make([]byte, 8)
	for i := range want {
		_ = receiver.SetReadDeadline(time.Now().Add(testTimeout))
		if _, _, err := receiver.ReadFrom(buf); err != nil {
			t.Fatalf("read of datagram %d of %d: error = %v, want nil", i, want, err)
		}
		if i == 0 && time.Since(start) < 30*time.Millisecond {
			t.Error("first datagram arrived in less than 30ms, want at least the delay of the link")
		}
	}
	_ = receiver.SetReadDeadline(time.Now().Add(60 * time.Millisecond))
	if _, _, err := receiver.ReadFrom(buf); err == nil {
		t.Errorf("received more than %d datagrams, want the others lost", want)
	}
}

// A caller cancels a blocked read by setting a deadline in the past. The read must return, as on a real socket.
func TestSetReadDeadlineUnblocksReadFrom(t *testing.T) {
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
			t.Errorf("error = %v, want %v", err, os.ErrDeadlineExceeded)
		}
	case <-time.After(10 * time.Second):
		t.Error("ReadFrom still blocks 10s after its deadline, want it to return")
	}
}
