package handover

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"tackhub.example/tackhub/internal/discovery"
)

// The files under testdata hold what a released version wrote: one line for each form of message, and the state of a node. An
// upgrade hands over between two versions, so a rename must change none of these bytes.

var yes, no = true, false

var wireLines = []Message{
	{Version: 1, Listen: "127.0.0.1:8080", Identity: Identity{Name: "n0", Discovery: "http://127.0.0.1:9000", Settings: "ab12"}},
	{Version: 1, Listen: "127.0.0.1:8080"}, // of a version that does not say who it is
	{Request: "state"},
	{State: json.RawMessage(`{"list":{"revision":0,"complete":false,"members":null},"module":{},"drained":false}`)},
	{Ready: true},
	{Drained: &yes},
	{Drained: &no},
	{RequestOpened: "key-1"},
	{RequestClosed: "key-1"},
}

// pipe gives the two ends of a connection as the processes of one node have it.
func pipe(t *testing.T) (near, far *net.UnixConn) {
	t.Helper()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "s"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if near, err = net.DialUnix("unix", nil, l.Addr().(*net.UnixAddr)); err != nil {
		t.Fatal(err)
	}
	if far, err = l.AcceptUnix(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

func TestMessagesAreThoseOfReleasedVersions(t *testing.T) {
	raw, err := os.ReadFile("testdata/messages.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(raw, []byte("\n"))
	if lines = lines[:len(lines)-1]; len(lines) != len(wireLines) {
		t.Fatalf("%d lines for %d messages", len(lines), len(wireLines))
	}
	near, far := pipe(t)
	out, in := &messageConn{conn: near}, bufio.NewReader(far)
	for i, want := range wireLines {
		got, err := (&messageConn{reader: bufio.NewReader(bytes.NewReader(lines[i]))}).next()
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("read %+v, want %+v; %v", got, want, err)
		}
		if err := out.write(want); err != nil {
			t.Fatal(err)
		}
		if line, err := in.ReadBytes('\n'); err != nil || !bytes.Equal(line, lines[i]) {
			t.Errorf("wrote %s, want %s; %v", line, lines[i], err)
		}
	}
}

// nodeState has the form in which a node hands its state over (internal/node); the module's part is kept as it came.
type nodeState struct {
	List    discovery.List  `json:"list"`
	Module  json.RawMessage `json:"module"`
	Drained bool            `json:"drained"`
}

func TestHandedOverStateIsThatOfReleasedVersions(t *testing.T) {
	raw, err := os.ReadFile("testdata/state.json")
	if err != nil {
		t.Fatal(err)
	}
	want := discovery.List{Revision: 42, Complete: true, Members: []discovery.Member{
		{ID: "s1", HostPort: "10.0.0.1:80", Locality: "a", Cell: 3, Phase: "SERVING", Size: 1.5, UpSince: 1_700_000_000_000.5},
		{ID: "s2", HostPort: "10.0.0.2:80", Phase: "DRAINING"},
	}}
	var got nodeState
	if err := json.Unmarshal(raw, &got); err != nil || !got.Drained || !reflect.DeepEqual(got.List, want) || !json.Valid(got.Module) {
		t.Errorf("read %+v, want the list %+v; %v", got, want, err)
	}
	if again, err := json.Marshal(nodeState{List: want, Module: got.Module, Drained: true}); err != nil || !bytes.Equal(again, raw) {
		t.Errorf("wrote %s, want %s; %v", again, raw, err)
	}
	near, far := pipe(t)
	go func() { _ = (&messageConn{conn: near}).write(Message{State: raw}) }()
	m, err := (&messageConn{conn: far, reader: bufio.NewReader(far)}).read(stepTimeout)
	if err != nil || !bytes.Equal(m.State, raw) {
		t.Errorf("handed over %s, want %s; %v", m.State, raw, err)
	}
}

// The name of the socket is where processes of two versions meet.
func TestSocketNameIsThatOfReleasedVersions(t *testing.T) {
	if got := SocketPath("/tmp", "0.0.0.0:8080"); got != "/tmp/tackhub-64437901d19ee2e9.sock" {
		t.Errorf("the socket is %s", got)
	}
}
