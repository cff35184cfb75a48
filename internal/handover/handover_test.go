package handover

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// ownIdentity is the node whose processes meet.
var ownIdentity = Identity{Name: "n0", Discovery: "d", Settings: "s"}

// idleNode is a node without state.
type idleNode struct{}

func (idleNode) SetSibling(bool)                 {}
func (idleNode) State() (json.RawMessage, error) { return json.RawMessage(`{}`), nil }
func (idleNode) SuccessorReady()                 {}
func (idleNode) HandleMessage(Message)           {}

// listen returns the old process's side, and the listener that clients use.
func listen(t *testing.T, dir string) (*Predecessor, *net.TCPListener) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	p, err := Listen(dir, "here", ownIdentity, l, idleNode{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close(); _ = p.listener.Close() })
	return p, l
}

// A connection that waits in the accept queue when the old process closes its listener must not be lost: the new process has the
// same queue. The folder's name is longer than a Unix socket's address may be.
func TestListenerIsTheSame(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("a-long-name", 15))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	p, old := listen(t, dir)
	go p.Run(t.Context())
	successor, err := TakeOver(dir, "here", ownIdentity)
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	if raw, err := successor.RequestState(); err != nil || string(raw) != "{}" {
		t.Errorf("state %s, %v", raw, err)
	}
	if err := successor.AnnounceReady(); err != nil {
		t.Error(err)
	}
	waiting, err := net.Dial("tcp", old.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := old.Close(); err != nil {
		t.Fatal(err)
	}
	c, err := successor.Listener.Accept()
	if err != nil || c.RemoteAddr().String() != waiting.LocalAddr().String() {
		t.Errorf("the connection that waited: %v", err)
	}
}

// Without a predecessor the new process starts plainly. A file of another kind at the socket's path is not removed.
func TestNoPredecessor(t *testing.T) {
	if _, err := TakeOver(t.TempDir(), "here", ownIdentity); err != ErrNoPredecessor {
		t.Errorf("an empty place: %v", err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(SocketPath(dir, "here"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := TakeOver(dir, "here", ownIdentity); err == nil || err == ErrNoPredecessor {
		t.Errorf("a foreign file: %v", err)
	}
	if _, err := Listen(dir, "here", ownIdentity, nil, idleNode{}, nil); err == nil {
		t.Error("a foreign file made way")
	}
}

// The socket's name depends on the clients' address alone, so another customer's node may find it. It must not get the listener.
func TestAnotherNodeGetsNothing(t *testing.T) {
	dir := t.TempDir()
	p, _ := listen(t, dir)
	go p.Run(t.Context())
	for _, other := range []Identity{{Name: "n1", Discovery: "d", Settings: "s"}, {Name: "n0", Discovery: "e", Settings: "t"}} {
		if h, err := TakeOver(dir, "here", other); !errors.Is(err, ErrOtherNode) || h != nil {
			t.Errorf("%+v: %v", other, err)
		}
	}
	for _, same := range []Identity{ownIdentity, {Name: "n0", Discovery: "e", Settings: "s"}, {Name: "n0", Discovery: "d", Settings: "t"}} {
		h, err := TakeOver(dir, "here", same)
		if err != nil || h.PredecessorIdentity != ownIdentity {
			t.Fatalf("%+v: %v", same, err)
		}
		_ = h.Listener.Close()
		h.Close()
	}
}

// Two processes run during an upgrade, and the socket's file is the new one's by then. The old one must not remove it at its end.
func TestSocketIsRemovedByItsOwner(t *testing.T) {
	dir := t.TempDir()
	first, _ := listen(t, dir)
	second, _ := listen(t, dir)
	for _, p := range []*Predecessor{first, second} {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		p.Run(ctx)
		_, err := os.Lstat(p.path)
		if there := err == nil; there != (p == first) {
			t.Errorf("after the end of one the file is there: %v", there)
		}
	}
}

// FuzzMessages reads whatever another process may write.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("{\"tackhub_handover\":1}\n{\"opened\":\"x\"}\n"))
	f.Add([]byte("{\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		mine, tsuccessors := net.Pipe()
		defer func() { _ = mine.Close() }()
		go func() {
			_, _ = tsuccessors.Write(raw)
			_ = tsuccessors.Close()
		}()
		l := &messageConn{reader: bufio.NewReader(mine)}
		for range bytes.Count(raw, []byte{'\n'}) + 1 {
			if _, err := l.next(); err != nil {
				return
			}
		}
		t.Error("more messages than lines")
	})
}
