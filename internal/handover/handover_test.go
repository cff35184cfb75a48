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

// testIdentity is the identity of the node whose processes hand over.
var testIdentity = Identity{Name: "n0", Discovery: "d", Settings: "s"}

// fakeNode is a Node with an empty state that ignores all calls.
type fakeNode struct{}

func (fakeNode) SetSibling(bool)                 {}
func (fakeNode) State() (json.RawMessage, error) { return json.RawMessage(`{}`), nil }
func (fakeNode) SuccessorReady()                 {}
func (fakeNode) HandleMessage(Message)           {}

// startPredecessor returns the old process's side of a handover, and its listener for clients.
func startPredecessor(t *testing.T, dir string) (*Predecessor, *net.TCPListener) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	p, err := Listen(dir, "here", testIdentity, l, fakeNode{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close(); _ = p.socketListener.Close() })
	return p, l
}

// Guards against losing connections that are in the accept queue when the old process closes its listener: the new process must
// have the same queue. The path of the socket is longer than the address of a Unix socket may be.
func TestHandoverKeepsQueuedConnections(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("a-long-name", 15))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	p, old := startPredecessor(t, dir)
	go p.Run(t.Context())
	successor, err := TakeOver(dir, "here", testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	if raw, err := successor.RequestState(); err != nil || string(raw) != "{}" {
		t.Errorf("RequestState() = %s, %v; want {}", raw, err)
	}
	if err := successor.AnnounceReady(); err != nil {
		t.Error(err)
	}
	queued, err := net.Dial("tcp", old.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := old.Close(); err != nil {
		t.Fatal(err)
	}
	c, err := successor.Listener.Accept()
	if err != nil || c.RemoteAddr().String() != queued.LocalAddr().String() {
		t.Errorf("the successor did not accept the queued connection from %v: error %v", queued.LocalAddr(), err)
	}
}

// Guards against a start that fails without a predecessor, and against removing a file at the socket's path that is not a socket.
func TestTakeOverWithoutPredecessor(t *testing.T) {
	if _, err := TakeOver(t.TempDir(), "here", testIdentity); err != ErrNoPredecessor {
		t.Errorf("TakeOver() without a socket: error %v, want %v", err, ErrNoPredecessor)
	}
	dir := t.TempDir()
	if err := os.WriteFile(SocketPath(dir, "here"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := TakeOver(dir, "here", testIdentity); err == nil || err == ErrNoPredecessor {
		t.Errorf("TakeOver() with a regular file at the path: error %v, want one other than %v", err, ErrNoPredecessor)
	}
	if _, err := Listen(dir, "here", testIdentity, nil, fakeNode{}, nil); err == nil {
		t.Error("Listen() with a regular file at the path: no error")
	}
}

// Guards against handing the listener to a process of another node. The socket's name depends only on the clients' address, so
// a node of another customer can find the socket.
func TestTakeOverRefusedForOtherNode(t *testing.T) {
	dir := t.TempDir()
	p, _ := startPredecessor(t, dir)
	go p.Run(t.Context())
	for _, other := range []Identity{{Name: "n1", Discovery: "d", Settings: "s"}, {Name: "n0", Discovery: "e", Settings: "t"}} {
		if successor, err := TakeOver(dir, "here", other); !errors.Is(err, ErrOtherNode) || successor != nil {
			t.Errorf("TakeOver() as %+v: error %v, want %v", other, err, ErrOtherNode)
		}
	}
	for _, same := range []Identity{testIdentity, {Name: "n0", Discovery: "e", Settings: "s"}, {Name: "n0", Discovery: "d", Settings: "t"}} {
		successor, err := TakeOver(dir, "here", same)
		if err != nil || successor.PredecessorIdentity != testIdentity {
			t.Fatalf("TakeOver() as %+v: error %v, want the listener of %+v", same, err, testIdentity)
		}
		_ = successor.Listener.Close()
		successor.Close()
	}
}

// Guards against an old process that removes the new one's socket when it ends: during an upgrade both run, and the new process has
// replaced the socket's file.
func TestRunRemovesOnlyItsOwnSocket(t *testing.T) {
	dir := t.TempDir()
	replaced, _ := startPredecessor(t, dir)
	latest, _ := startPredecessor(t, dir)
	for _, p := range []*Predecessor{replaced, latest} {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		p.Run(ctx)
		_, err := os.Lstat(p.socketPath)
		if exists := err == nil; exists != (p == replaced) {
			t.Errorf("socket exists after Run = %v, want %v", exists, p == replaced)
		}
	}
}

// FuzzMessages checks that any input from another process is read without a panic, and that no more messages than lines are read.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("{\"tackhub_handover\":1}\n{\"opened\":\"x\"}\n"))
	f.Add([]byte("{\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		local, remote := net.Pipe()
		defer func() { _ = local.Close() }()
		go func() {
			_, _ = remote.Write(raw)
			_ = remote.Close()
		}()
		conn := &messageConn{reader: bufio.NewReader(local)}
		for range bytes.Count(raw, []byte{'\n'}) + 1 {
			if _, err := conn.readMessage(); err != nil {
				return
			}
		}
		t.Error("readMessage returned more messages than the input has lines")
	})
}
