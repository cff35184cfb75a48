package node

import (
	"os"
	"os/signal"
	"syscall"
)

// signals are what a running node is told by signals.
type signals struct {
	stop   <-chan os.Signal // SIGTERM, SIGINT: planned stop
	report <-chan os.Signal // SIGUSR1: counters and servers' health into the log
	reload <-chan os.Signal // SIGHUP: read the configuration again
}

// notifySignals catches the signals; until then any of them would kill the process. SIGPIPE is
// ignored: otherwise the next log line kills the node once whoever reads its log has gone.
func notifySignals() signals {
	s := signals{
		stop:   notify(syscall.SIGTERM, syscall.SIGINT),
		report: notify(syscall.SIGUSR1),
		reload: notify(syscall.SIGHUP),
	}
	signal.Ignore(syscall.SIGPIPE)
	return s
}

func notify(which ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, which...)
	return c
}
