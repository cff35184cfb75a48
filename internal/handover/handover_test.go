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

// us is the node whose processes meet.
var us = Identity{Name: "n0", Discovery: "d", Settings: "s"}

// nothing is a node that has nothing to tell.
type nothing struct{}

func (nothing) SetSibling(bool)                 {}
func (nothing) State() (json.RawMessage, error) { return json.RawMessage(`{}`), nil }
func (nothing) SuccessorReady()                 {}
func (nothing) HandleMessage(Message)           {}

func keep(t *testing.T, dir string) (*Predecessor, *net.TCPListener) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	k, err := Listen(dir, "here", us, l, nothing{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close(); _ = k.listener.Close() })
	return k, l
}

// TestListenerIsTheSame has connections wait in a queue whose first owner closes it.
func TestListenerIsTheSame(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("a-long-name", 15)) // longer than a socket's address may be
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	k, old := keep(t, dir)
	go k.Run(t.Context())
	heir, err := TakeOver(dir, "here", us)
	if err != nil {
		t.Fatal(err)
	}
	defer heir.Close()
	if raw, err := heir.RequestState(); err != nil || string(raw) != "{}" {
		t.Errorf("state %s, %v", raw, err)
	}
	if err := heir.AnnounceReady(); err != nil {
		t.Error(err)
	}
	waiting, err := net.Dial("tcp", old.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := old.Close(); err != nil {
		t.Fatal(err)
	}
	c, err := heir.Listener.Accept()
	if err != nil || c.RemoteAddr().String() != waiting.LocalAddr().String() {
		t.Errorf("the connection that waited: %v", err)
	}
}

func TestNothingToTake(t *testing.T) {
	if _, err := TakeOver(t.TempDir(), "here", us); err != ErrNoPredecessor {
		t.Errorf("an empty place: %v", err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(SocketPath(dir, "here"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := TakeOver(dir, "here", us); err == nil || err == ErrNoPredecessor {
		t.Errorf("a foreign file: %v", err)
	}
	if _, err := Listen(dir, "here", us, nil, nothing{}, nil); err == nil {
		t.Error("a foreign file made way")
	}
}

// TestAnotherNodeGetsNothing: the place hangs on the clients' address alone.
func TestAnotherNodeGetsNothing(t *testing.T) {
	dir := t.TempDir()
	k, _ := keep(t, dir)
	go k.Run(t.Context())
	for _, other := range []Identity{{Name: "n1", Discovery: "d", Settings: "s"}, {Name: "n0", Discovery: "e", Settings: "t"}} {
		if h, err := TakeOver(dir, "here", other); !errors.Is(err, ErrOtherNode) || h != nil {
			t.Errorf("%+v: %v", other, err)
		}
	}
	for _, same := range []Identity{us, {Name: "n0", Discovery: "e", Settings: "s"}, {Name: "n0", Discovery: "d", Settings: "t"}} {
		h, err := TakeOver(dir, "here", same)
		if err != nil || h.PredecessorIdentity != us {
			t.Fatalf("%+v: %v", same, err)
		}
		_ = h.Listener.Close()
		h.Close()
	}
}

// TestNameGoesWithItsOwner: the next process's must stay.
func TestNameGoesWithItsOwner(t *testing.T) {
	dir := t.TempDir()
	first, _ := keep(t, dir)
	second, _ := keep(t, dir)
	for _, k := range []*Predecessor{first, second} {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		k.Run(ctx)
		_, err := os.Lstat(k.path)
		if there := err == nil; there != (k == first) {
			t.Errorf("after the end of one the name is there: %v", there)
		}
	}
}

// FuzzMessages reads whatever another process may write.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("{\"tackhub_handover\":1}\n{\"opened\":\"x\"}\n"))
	f.Add([]byte("{\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		mine, theirs := net.Pipe()
		defer func() { _ = mine.Close() }()
		go func() {
			_, _ = theirs.Write(raw)
			_ = theirs.Close()
		}()
		l := &link{r: bufio.NewReader(mine)}
		for range bytes.Count(raw, []byte{'\n'}) + 1 {
			if _, err := l.next(); err != nil {
				return
			}
		}
		t.Error("more messages than lines")
	})
}
