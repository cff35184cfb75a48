package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"tackhub.example/tackhub/internal/admin"
	"tackhub.example/tackhub/internal/config"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/handover"
	"tackhub.example/tackhub/internal/logs"
	"tackhub.example/tackhub/internal/subsystem"
)

const (
	// memoryShare of the limit is where the collector starts to work harder; the rest is for stacks, the
	// program itself and what the kernel counts.
	memoryShare = 0.6

	// gcPercent lets garbage grow to four times what lives before it is collected: what lives is a few
	// megabytes, and on one core each collection delays answers.
	gcPercent = 400
)

// Serve runs one node until a signal ends it. The environment tells it everything but the operator file, whose path is
// empty where it has none.
func Serve(edge string) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT) // before anything that takes time: a stop may come at once
	report := make(chan os.Signal, 1)
	signal.Notify(report, syscall.SIGUSR1) // likewise: until then it would kill the process
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // likewise
	// Else the next log line kills the node once whoever reads its log has gone.
	signal.Ignore(syscall.SIGPIPE)
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	running := c // as it was told, to compare a new file with
	c.Limits.Sockets = limit(c.Limits)
	count := &counters.Counters{}
	sink := logs.NewSink(os.Stderr, &count.LogLines.Dropped)
	defer sink.Close()
	log := sink.Logger(c.Name)
	file, err := loadEdge(edge)
	if err != nil {
		return err
	}
	who := identity(&c)
	listener, heir, from, err := takeOver(&c, log)
	if err != nil {
		return err
	}
	n, err := newNode(c, log, count)
	if err != nil {
		return err
	}
	n.upgrade = &upgrade{n: n, limits: c.Limits, log: log, heir: heir, out: make(chan handover.Message, tellQueue)}
	n.subsystems = subsystem.NewManager(Parts(), host(n, c, log, count))
	if c.Operator != "" {
		if n.door, err = admin.Listen(c.Operator, n, log, count); err != nil {
			return err
		}
	}
	log.Info("serving", "code", "start", "listen", listener.Addr().String(), "discovery", c.Discovery, "operator", c.Operator,
		"tmpdir", os.Getenv("TMPDIR"), // empty: no large requests, no handover
		"known", len(c.Known.Members), "cores", c.Limits.Cores, "memory_mb", c.Limits.MemoryMB,
		"sockets", c.Limits.Sockets)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.upgrade.begin(from)
	n.start(ctx)
	if file != nil {
		change, err := n.subsystems.Apply(ctx, file)
		if err != nil {
			return err
		}
		log.Info("operator file taken", "code", "edge", "file", file.Path, "on", change.Started)
	}
	n.follow(ctx)
	go n.onSignals(stop, listener, log)
	go reportOn(ctx, report, log, count)
	go n.reloadOn(ctx, reload, running, edge, log)
	n.upgrade.serve(ctx, c.Listen, who, listener)
	n.serving.Store(true)
	err = n.ingress.Serve(listener)
	n.subsystems.Stop()
	<-n.inFlight.Empty() // whichever front has it: nothing that was taken is cut off
	cancel()
	n.wait()
	last := sink.Waiting().Logger(c.Name) // the lines of the end wait for their place
	n.logStopEnd(last)
	last.Info("counters", "code", "counters", "counters", rawJSON(count.JSON()))
	last.Info("ended", "code", "end")
	return err
}

// host is what a node gives its subsystems.
func host(n *node, c config.Config, log *slog.Logger, count *counters.Counters) subsystem.Host {
	return subsystem.Host{Log: log, Node: n, Counters: func() json.RawMessage { return count.JSON() },
		Limits: subsystem.Limits{MemoryBytes: int64(c.Limits.MemoryMB * (1 << 20)), Descriptors: c.Limits.Sockets}}
}

// limit keeps the process within its machine's limits, and gives the descriptors that it may have: the
// system's own limit may be the lower one.
func limit(l config.Limits) int {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(memoryLimit(l))
	debug.SetGCPercent(gcPercent)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return l.Sockets
	}
	return int(min(uint64(l.Sockets), files.Cur))
}

// memoryLimit is the collector's, in bytes.
func memoryLimit(l config.Limits) int64 { return int64(l.MemoryMB * memoryShare * (1 << 20)) }

// reportOn writes the counters to the log whenever a signal asks for them.
func reportOn(ctx context.Context, ask <-chan os.Signal, log *slog.Logger, count *counters.Counters) {
	for {
		select {
		case <-ask:
			log.Info("counters", "code", "counters", "counters", rawJSON(count.JSON()))
		case <-ctx.Done():
			return
		}
	}
}

// rawJSON is a text that goes into the log as the JSON it is.
type rawJSON []byte

// MarshalJSON gives the text itself.
func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }
