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

// The files under testdata contain the output of a released version: one line for each form of message, and the state of a node.
// The two processes of an upgrade may have different versions, so these bytes must not change.

var yes, no = true, false

var wireMessages = []Message{
	{Version: 1, Listen: "127.0.0.1:8080", Identity: Identity{Name: "n0", Discovery: "http://127.0.0.1:9000", Settings: "ab12"}},
	{Version: 1, Listen: "127.0.0.1:8080"}, // of a version that sends no identity
	{Request: "state"},
	{State: json.RawMessage(`{"list":{"revision":0,"complete":false,"members":null},"module":{},"drained":false}`)},
	{Ready: true},
	{Drained: &yes},
	{Drained: &no},
	{RequestOpened: "key-1"},
	{RequestClosed: "key-1"},
}

// socketPair returns the two ends of a Unix connection, as two processes of a node use it.
func socketPair(t *testing.T) (local, remote *net.UnixConn) {
	t.Helper()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "s"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if local, err = net.DialUnix("unix", nil, l.Addr().(*net.UnixAddr)); err != nil {
		t.Fatal(err)
	}
	if remote, err = l.AcceptUnix(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = local.Close(), remote.Close() })
	return local, remote
}

// Guards against incompatible changes of the message format, in both directions.
func TestMessagesMatchReleasedFormat(t *testing.T) {
	raw, err := os.ReadFile("testdata/messages.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(raw, []byte("\n"))
	if lines = lines[:len(lines)-1]; len(lines) != len(wireMessages) {
		t.Fatalf("testdata/messages.jsonl has %d lines, want %d", len(lines), len(wireMessages))
	}
	local, remote := socketPair(t)
	out, in := &messageConn{conn: local}, bufio.NewReader(remote)
	for i, want := range wireMessages {
		got, err := (&messageConn{reader: bufio.NewReader(bytes.NewReader(lines[i]))}).readMessage()
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("read %+v, error %v; want %+v", got, err, want)
		}
		if err := out.write(want); err != nil {
			t.Fatal(err)
		}
		if line, err := in.ReadBytes('\n'); err != nil || !bytes.Equal(line, lines[i]) {
			t.Errorf("wrote %s, error %v; want %s", line, err, lines[i])
		}
	}
}

// nodeState has the JSON form of the state that a node transfers (internal/node). The balancer's state in it is not decoded.
type nodeState struct {
	List    discovery.List  `json:"list"`
	Module  json.RawMessage `json:"module"`
	Drained bool            `json:"drained"`
}

// Guards against incompatible changes of the transferred state.
func TestStateMatchesReleasedFormat(t *testing.T) {
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
		t.Errorf("read %+v, error %v; want a drained node, valid JSON in module and the list %+v", got, err, want)
	}
	if encoded, err := json.Marshal(nodeState{List: want, Module: got.Module, Drained: true}); err != nil || !bytes.Equal(encoded, raw) {
		t.Errorf("wrote %s, error %v; want %s", encoded, err, raw)
	}
	local, remote := socketPair(t)
	go func() { _ = (&messageConn{conn: local}).write(Message{State: raw}) }()
	m, err := (&messageConn{conn: remote, reader: bufio.NewReader(remote)}).read(stepTimeout)
	if err != nil || !bytes.Equal(m.State, raw) {
		t.Errorf("received state %s, error %v; want %s", m.State, err, raw)
	}
}

// Guards against a change of the socket's path, by which processes of different versions find each other.
func TestSocketPathMatchesReleasedVersions(t *testing.T) {
	if got := SocketPath("/tmp", "0.0.0.0:8080"); got != "/tmp/tackhub-64437901d19ee2e9.sock" {
		t.Errorf("SocketPath() = %s, want /tmp/tackhub-64437901d19ee2e9.sock", got)
	}
}
