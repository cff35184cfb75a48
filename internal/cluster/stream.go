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

// A stream is a TCP connection between two members, on which each message follows a prefix with its length. It transports either a
// SyncRequest and the SyncReply to it, or only a LivenessStream message (liveness.go).

const (
	// lengthPrefixBytes is the size in bytes of the big-endian length before each message.
	lengthPrefixBytes = 4

	// maxStateBytes is the maximum size of a full state: 1,024 members of 200 bytes each, which allows for names and addresses of the
	// maximum length.
	maxStateBytes = 256 << 10

	// maxStreams limits the open streams in each direction, except liveness streams; an incoming one counts until its first message
	// is read. Full states are exchanged with one member every ten seconds, and with each member that becomes reachable again.
	maxStreams = 8

	// streamTimeout limits a whole exchange of messages.
	streamTimeout = 2 * time.Second
)

var errTooLong = fmt.Errorf("message exceeds the limit of %d bytes for a stream", maxStateBytes)

// writeMessage writes the length of a message and the message, and returns the number of bytes written.
func writeMessage(w io.Writer, m membership.Message) (int, error) {
	raw, err := m.MarshalMsg(make([]byte, lengthPrefixBytes))
	if err != nil {
		return 0, err
	}
	length := len(raw) - lengthPrefixBytes
	if length > maxStateBytes {
		return 0, errTooLong
	}
	binary.BigEndian.PutUint32(raw, uint32(length))
	return w.Write(raw)
}

// readMessage reads an encoded message. It returns errTooLong, without allocating memory, if the length exceeds maxStateBytes.
func readMessage(r io.Reader) ([]byte, error) {
	var prefix [lengthPrefixBytes]byte
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

// closeOnDone closes a connection when the context ends, so that a blocked read or write returns. Calling stop cancels that.
func closeOnDone(ctx context.Context, conn net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = conn.Close() })
}

// startSync exchanges full states with a member on a new goroutine. If too many exchanges are running, it drops the request; the core
// requests another exchange later.
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

// sync sends a SyncRequest with the full state to a member and queues the SyncReply for the core.
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
		return fmt.Errorf("%s did not answer with a full state", to)
	}
	if !l.enqueue(l.ctx, inbound{message: reply}, true) {
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
			select { // an error such as a lack of file descriptors persists, and retrying without a delay would use a whole CPU
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

// serveStream handles one stream. It keeps a liveness stream open until the other side closes it.
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

// answerStream reads the first message of a stream, and answers it if it is a SyncRequest. It returns nil if there is no valid message.
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

// answerSync queues a SyncRequest for the core and writes the core's SyncReply to the stream.
func (l *link) answerSync(ctx context.Context, conn net.Conn, m *membership.Message) {
	in := inbound{message: m, reply: make(chan membership.Message, 1)}
	if !l.enqueue(ctx, in, true) {
		return
	}
	select {
	case reply := <-in.reply:
		if n, err := writeMessage(conn, reply); err == nil {
			l.counters.SentBytes.Add(int64(n))
		}
	case <-time.After(streamTimeout): // the core ignores this sender
	case <-ctx.Done():
	}
}
