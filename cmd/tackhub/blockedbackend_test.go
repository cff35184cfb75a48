package main

import (
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// blockedBackend is a backend to which no connection can be established until unblock is called: its listen backlog is
// full, so the kernel drops each SYN. The client's kernel retransmits the SYN one second after the first.
type blockedBackend struct {
	*backend
	t            *testing.T
	fd           int
	queueFillers int // connections that fill the listen backlog
}

// startBlockedBackend starts a blocked backend and fills its listen backlog.
func startBlockedBackend(t *testing.T, id string, act behavior) *blockedBackend {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := "127.0.0.1:" + strconv.Itoa(sa.(*syscall.SockaddrInet4).Port)
	fillers := 0
	for range 2 { // Linux queues one connection even with a backlog of 0; the second dial confirms that the queue is full
		filler, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err == nil {
			fillers++
			t.Cleanup(func() { _ = filler.Close() })
		}
	}
	h := &blockedBackend{backend: &backend{id: id, addr: addr, behavior: act, conns: map[net.Conn]bool{}}, t: t, fd: fd, queueFillers: fillers}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	return h
}

// unblock starts accepting connections.
func (h *blockedBackend) unblock() {
	h.t.Helper()
	go func() {
		for {
			fd, _, err := syscall.Accept(h.fd)
			if err != nil {
				return
			}
			f := os.NewFile(uintptr(fd), "accepted")
			c, err := net.FileConn(f)
			_ = f.Close()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns[c] = true
			h.mu.Unlock()
			go h.serve(c)
		}
	}()
	h.t.Cleanup(func() { _ = syscall.Shutdown(h.fd, syscall.SHUT_RDWR) }) // ends the accept loop
}

// settingsWithLongConnectTimeout returns testSettings with a connect timeout of 5 s. replacements holds further pairs of
// old and new text.
func settingsWithLongConnectTimeout(replacements ...string) string {
	return strings.NewReplacer(append([]string{`"connect_timeout_ms":150`, `"connect_timeout_ms":5000`}, replacements...)...).Replace(testSettings)
}
