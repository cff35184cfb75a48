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

// A stream carries one full state each way, each after four bytes with its length.

var errTooLong = errors.New("the state is too long")

func writeState(w io.Writer, m membership.Message) (int, error) {
	raw, err := m.MarshalMsg(make([]byte, 4))
	if err != nil {
		return 0, err
	}
	if len(raw)-4 > streamMost {
		return 0, errTooLong
	}
	binary.BigEndian.PutUint32(raw, uint32(len(raw)-4))
	return w.Write(raw)
}

func readState(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > streamMost {
		return nil, errTooLong
	}
	raw := make([]byte, n)
	_, err := io.ReadFull(r, raw)
	return raw, err
}

// stream asks a member for its full state, for this one's own. One for which there is no slot is left out: the next comes
// by itself.
func (l *link) stream(s membership.OutgoingMessage) {
	to, ok := l.address(s)
	if !ok || s.Message.Kind != membership.SyncRequest {
		return
	}
	select {
	case l.slots <- struct{}{}:
	default:
		l.drop("streams")
		return
	}
	l.ending.Go(func() {
		defer func() { <-l.slots }()
		if err := l.exchange(to, s.Message); err != nil {
			l.count.StreamsFailed.Inc()
		}
	})
}

func (l *link) exchange(to netip.AddrPort, m membership.Message) error {
	dialer := net.Dialer{Timeout: streamTime}
	conn, err := dialer.DialContext(l.running, "tcp", to.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(l.running, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(streamTime))
	n, err := writeState(conn, m)
	if err != nil {
		return err
	}
	l.count.Streams.Inc()
	l.count.SentBytes.Add(int64(n))
	raw, err := readState(conn)
	if err != nil {
		return err
	}
	l.count.TakenBytes.Add(int64(len(raw)))
	reply := l.parse(raw, to.Addr())
	if reply == nil || reply.Kind != membership.SyncReply {
		return fmt.Errorf("%s answers no full state", to)
	}
	select { // the core takes it or is at its end; nobody else reads the inbox
	case l.inbox <- inbound{m: reply}:
		return nil
	case <-l.running.Done():
		return l.running.Err()
	}
}

// answerStreams takes other members' full states.
func (l *link) answerStreams(ctx context.Context) {
	for {
		conn, err := l.tcp.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			l.drop("accept")
			select { // out of descriptors: an accept in a busy loop would take the core
			case <-time.After(l.o.ProbeInterval.Std()):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case l.calls <- struct{}{}:
		default:
			l.drop("streams")
			_ = conn.Close()
			continue
		}
		l.ending.Go(func() {
			defer func() { _ = conn.Close() }()
			if m := l.answer(ctx, conn); m != nil && m.Kind == membership.LivenessStream {
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				defer stop()
				l.fleet.hold(ctx, conn, m)
			}
		})
	}
}

// answer takes the first message of a stream, and answers it where it is a full state.
func (l *link) answer(ctx context.Context, conn net.Conn) *membership.Message {
	defer func() { <-l.calls }()
	_ = conn.SetDeadline(time.Now().Add(streamTime))
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	raw, err := readState(conn)
	if errors.Is(err, errTooLong) {
		l.drop("too_long")
	}
	if err != nil {
		l.count.StreamsFailed.Inc()
		return nil
	}
	l.count.TakenBytes.Add(int64(len(raw)))
	from, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
	m := l.parse(raw, from.Addr())
	if m == nil || m.Kind != membership.SyncRequest {
		return m
	}
	in := inbound{m: m, reply: make(chan membership.Message, 1)}
	if !l.post(ctx, in, true) {
		return m
	}
	select {
	case reply := <-in.reply:
		if n, err := writeState(conn, reply); err == nil {
			l.count.SentBytes.Add(int64(n))
		}
	case <-time.After(streamTime): // the core did not want to answer
	case <-ctx.Done():
	}
	return m
}
