// Package kit2 holds what the cases 6 to 10 share: the start of a node by the deploy file, a discovery stand-in, a plain HTTP
// reader and the record of a run. Everything is on loopback addresses.
package kit2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Trouble reports whether the run has its disruption. TROUBLE=0 takes it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file record.txt of a case. Each line begins with the milliseconds since the start of the run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

// NewRecord opens the record in the folder of the case.
func NewRecord() *Record {
	f, err := os.Create(filepath.Join(os.Getenv("CASE"), "record.txt"))
	if err != nil {
		CannotRun("record.txt: %v", err)
	}
	return &Record{file: f, begin: time.Now()}
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.1f  %s\n", float64(time.Since(r.begin).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// CannotRun ends the case with 2.
func CannotRun(format string, args ...any) {
	fmt.Printf("the case could not run: "+format+"\n", args...)
	StopAll()
	os.Exit(2)
}

// Finish ends the case: 1 if the rule was broken, else 0.
func Finish(r *Record, broken int, text string) {
	StopAll()
	verdict := "held"
	code := 0
	if broken > 0 {
		verdict = "broken"
		code = 1
	}
	r.Add("verdict: %s: %s", verdict, text)
	fmt.Printf("%s: %s\n", verdict, text)
	os.Exit(code)
}

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
)

// StopAll kills every node that was started and waits for its end.
func StopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, c := range started {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	started = nil
}

// FreePort returns an address with a free TCP port.
func FreePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun("no free port: %v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Class is a class of the settings.
type Class struct {
	Name   string  `json:"name"`
	Effect string  `json:"effect"`
	Group  string  `json:"group"`
	Aim    float64 `json:"aim_ms"`
	Hard   float64 `json:"hard_limit_ms"`
	Window float64 `json:"dedup_window_ms"`
	Worth  float64 `json:"worth"`
}

// Node is a started node.
type Node struct {
	Addr string
	Cmd  *exec.Cmd
	env  []string
}

// StartAgain starts the `run` line once more with the same configuration and the same $TMPDIR, and with an address for administrators.
func (n *Node) StartAgain(operator string) *exec.Cmd {
	cmd := exec.Command("/bin/sh", "-c", os.Getenv("RUN"))
	cmd.Dir = os.Getenv("ROOT")
	cmd.Env = append(append([]string{}, n.env...), "ROUTER_OPERATOR="+operator)
	cmd.Stdout, cmd.Stderr = n.Cmd.Stdout, n.Cmd.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		CannotRun("the node: %v", err)
	}
	startedMu.Lock()
	started = append(started, cmd)
	startedMu.Unlock()
	return cmd
}

// StartNode starts the `run` line of the deploy file and waits until the node takes requests.
func StartNode(classes []Class, discovery, extraArgs string, known []Member) *Node {
	dir := os.Getenv("WORK")
	addr := FreePort()
	config := map[string]any{
		"name": "n0", "listen": addr, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  List{Revision: 1, Complete: true, Members: known},
		"settings": map[string]any{
			"classes": classes, "client_habits": map[string]any{"marks_retry": true}, "counted_by": "request",
			"discovery": "automatic", "fleet_size": 1, "me": 0, "goal": map[string]any{"whole": 1},
			"obligations": map[string]any{"answer_slack_ms": 5, "cold_from": 0.3, "cold_ms": 6000, "fall_ms": 1000,
				"fall_multiple": 3, "stop_sending_within_ms": 1000},
			"policy_limits": map[string]any{"attempts_cap": 5, "conn_idle_ms": 60000, "connect_timeout_ms": 250, "may_cancel": true,
				"probes": false, "retry_after": true, "max_retry_after_ms": 2000, "second_copies": true},
			"report": map[string]any{"how": "none", "names": []string{}}, "weights": "none", "zone": "a", "realms": []string{},
		},
	}
	raw, _ := json.MarshalIndent(config, "", " ")
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		CannotRun("%v", err)
	}
	tmp := filepath.Join(dir, "tmp")
	_ = os.MkdirAll(tmp, 0o700)
	logFile, err := os.Create(filepath.Join(dir, "node.log"))
	if err != nil {
		CannotRun("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", os.Getenv("RUN")+extraArgs)
	cmd.Dir = os.Getenv("ROOT")
	cmd.Env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+addr, "ROUTER_DISCOVERY="+discovery, "ROUTER_CONFIG="+file, "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		CannotRun("the node: %v", err)
	}
	startedMu.Lock()
	started = append(started, cmd)
	startedMu.Unlock()
	for range 100 {
		if resp, err := http.Get("http://" + addr + "/_health"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return &Node{Addr: addr, Cmd: cmd, env: cmd.Env}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	CannotRun("the node is not ready after 5 s")
	return nil
}

// Member and List are discovery's entries, in the protocol's form.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// List is a list of discovery.
type List struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// StartDiscovery serves a list that never changes.
func StartDiscovery(members []Member) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun("%v", err)
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			list := List{Revision: 1, Complete: true, Members: members}
			if r.URL.Query().Get("from") == "1" {
				hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
				select {
				case <-time.After(time.Duration(min(hold, 60_000)) * time.Millisecond):
				case <-r.Context().Done():
					return
				}
				list = List{Revision: 1, Members: []Member{}}
			}
			_ = json.NewEncoder(w).Encode(list)
		}))
	}()
	return l.Addr().String()
}

// Head is the head of a request or an answer.
type Head struct {
	Line   string
	Header textproto.MIMEHeader
	Size   int // of the head, in bytes
}

// ReadHead reads the head of a message.
func ReadHead(r *bufio.Reader) (Head, error) {
	h := Head{Header: textproto.MIMEHeader{}}
	for first := true; ; first = false {
		line, err := r.ReadString('\n')
		h.Size += len(line)
		if err != nil {
			return h, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case first:
			h.Line = line
		case line == "":
			return h, nil
		default:
			name, value, _ := strings.Cut(line, ":")
			h.Header.Add(name, strings.TrimSpace(value))
		}
	}
}

// Length is the length of the body.
func (h Head) Length() int {
	n, _ := strconv.Atoi(h.Header.Get("Content-Length"))
	return n
}

// Status is the status of an answer.
func (h Head) Status() int {
	_, rest, _ := strings.Cut(h.Line, " ")
	n, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return n
}

// ReadAnswer reads an answer with its body.
func ReadAnswer(r *bufio.Reader) (Head, []byte, error) {
	h, err := ReadHead(r)
	if err != nil {
		return h, nil, err
	}
	body := make([]byte, h.Length())
	_, err = io.ReadFull(r, body)
	return h, body, err
}
