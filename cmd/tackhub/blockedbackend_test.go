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

// blockedBackend is a server to which connections are established only once it is unblocked: its backlog is full, so
// the kernel drops each SYN. The client's kernel sends the next one a second after the first.
type blockedBackend struct {
	*backend
	t            *testing.T
	fd           int
	queueFillers int // connections that fill its queue
}

// startBlockedBackend starts one and fills its backlog.
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
	for range 2 { // the queue holds one more than it says; the second shows that it is full
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

// unblock has it accept from now on.
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
	h.t.Cleanup(func() { _ = syscall.Shutdown(h.fd, syscall.SHUT_RDWR) }) // ends the accepting
}

// longConnectTimeout are settings with which a connection attempt may take long.
func longConnectTimeout(more ...string) string {
	return strings.NewReplacer(append([]string{`"connect_timeout_ms":150`, `"connect_timeout_ms":5000`}, more...)...).Replace(testSettings)
}
