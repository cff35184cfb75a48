package cluster

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"tackhub.example/tackhub/internal/membership"
)

// A stream is a TCP connection between two members. It carries one message each way, a SyncRequest and its SyncReply, each after
// a prefix with its length; or a LivenessStream message and nothing more (liveness.go).

const (
	// lengthPrefix is the size of the length before a message, in bytes, big-endian.
	lengthPrefix = 4

	// maxStateBytes is what a full state may take: 1,024 members of 200 bytes each, the most that names and addresses allow.
	maxStateBytes = 256 << 10

	// maxStreams may be open in each direction. Full states are exchanged with one member every ten seconds, and with each that
	// is found again.
	maxStreams = 8

	// streamTimeout is for an exchange as a whole.
	streamTimeout = 2 * time.Second
)

var errTooLong = errors.New("the message is too long")

// writeMessage writes a message after its length, and returns the number of bytes.
func writeMessage(w io.Writer, m membership.Message) (int, error) {
	raw, err := m.MarshalMsg(make([]byte, lengthPrefix))
	if err != nil {
		return 0, err
	}
	length := len(raw) - lengthPrefix
	if length > maxStateBytes {
		return 0, errTooLong
	}
	binary.BigEndian.PutUint32(raw, uint32(length))
	return w.Write(raw)
}

// readMessage reads the bytes of a message. A length beyond the bound is errTooLong, and takes no memory.
func readMessage(r io.Reader) ([]byte, error) {
	var prefix [lengthPrefix]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > maxStateBytes {
		return nil, errTooLong
	}
	raw := make([]byte, length)
	_, err := io.ReadFull(r, raw)
	return raw, err
}

// closeOnDone closes a connection when the context ends, so that a blocked read or write returns. The result undoes that.
func closeOnDone(ctx context.Context, conn net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = conn.Close() })
}

// startSync exchanges full states with a member, in a goroutine of its own. Where too many exchanges run it is left out: the core
// asks for another one later.
func (l *link) startSync(out membership.OutgoingMessage) {
	to, ok := l.destination(out)
	if !ok || out.Message.Kind != membership.SyncRequest {
		return
	}
	select {
	case l.outgoingStreams <- struct{}{}:
	default:
		l.drop(dropStreamsFull)
		return
	}
	l.tasks.Go(func() {
		defer func() { <-l.outgoingStreams }()
		if err := l.sync(to, out.Message); err != nil {
			l.counters.StreamsFailed.Inc()
		}
	})
}

// sync sends a full state and hands the answer to the core.
func (l *link) sync(to netip.AddrPort, request membership.Message) error {
	dialer := net.Dialer{Timeout: streamTimeout}
	conn, err := dialer.DialContext(l.ctx, "tcp", to.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	defer closeOnDone(l.ctx, conn)()
	_ = conn.SetDeadline(time.Now().Add(streamTimeout))
	n, err := writeMessage(conn, request)
	if err != nil {
		return err
	}
	l.counters.Streams.Inc()
	l.counters.SentBytes.Add(int64(n))
	raw, err := readMessage(conn)
	if err != nil {
		return err
	}
	l.counters.TakenBytes.Add(int64(len(raw)))
	reply := l.parse(raw, to.Addr())
	if reply == nil || reply.Kind != membership.SyncReply {
		return fmt.Errorf("%s sent no full state", to)
	}
	if !l.post(l.ctx, inbound{message: reply}, true) {
		return l.ctx.Err()
	}
	return nil
}

// acceptStreams serves other members' connections until the listener is closed.
func (l *link) acceptStreams(ctx context.Context) {
	for {
		conn, err := l.tcp.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			l.drop(dropAccept)
			select { // out of descriptors: accepting without a pause would take a CPU
			case <-time.After(l.options.ProbeInterval.Std()):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case l.incomingStreams <- struct{}{}:
		default:
			l.drop(dropStreamsFull)
			_ = conn.Close()
			continue
		}
		l.tasks.Go(func() { l.serveStream(ctx, conn) })
	}
}

// serveStream answers one stream, and keeps it open as long as the other side does if it is a liveness stream.
func (l *link) serveStream(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	m := l.answerStream(ctx, conn)
	if m == nil || m.Kind != membership.LivenessStream {
		return
	}
	defer closeOnDone(ctx, conn)()
	if reason := l.quota.watchProcess(ctx, conn, m); reason != notDropped {
		l.drop(reason)
	}
}

// answerStream reads the message of a stream, and answers it if it is a SyncRequest. It returns nil if there is none.
func (l *link) answerStream(ctx context.Context, conn net.Conn) *membership.Message {
	defer func() { <-l.incomingStreams }()
	_ = conn.SetDeadline(time.Now().Add(streamTimeout))
	defer closeOnDone(ctx, conn)()
	raw, err := readMessage(conn)
	if errors.Is(err, errTooLong) {
		l.drop(dropTooLong)
	}
	if err != nil {
		l.counters.StreamsFailed.Inc()
		return nil
	}
	l.counters.TakenBytes.Add(int64(len(raw)))
	from, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
	m := l.parse(raw, from.Addr())
	if m != nil && m.Kind == membership.SyncRequest {
		l.answerSync(ctx, conn, m)
	}
	return m
}

// answerSync hands a SyncRequest to the core and writes its answer.
func (l *link) answerSync(ctx context.Context, conn net.Conn, m *membership.Message) {
	in := inbound{message: m, reply: make(chan membership.Message, 1)}
	if !l.post(ctx, in, true) {
		return
	}
	select {
	case reply := <-in.reply:
		if n, err := writeMessage(conn, reply); err == nil {
			l.counters.SentBytes.Add(int64(n))
		}
	case <-time.After(streamTimeout): // the core ignores the sender
	case <-ctx.Done():
	}
}
