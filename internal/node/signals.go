package node

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds the channels on which a running node receives signals.
type signals struct {
	stop   <-chan os.Signal // SIGTERM, SIGINT: graceful shutdown
	report <-chan os.Signal // SIGUSR1: log the counters and the health of the servers
	reload <-chan os.Signal // SIGHUP: reload the configuration
}

// notifySignals starts to receive the signals; before that, each of them would kill the process.
// SIGPIPE is ignored: otherwise, if the process that reads the node's log exits, the next log line would
// kill the node.
func notifySignals() signals {
	s := signals{
		stop:   notify(syscall.SIGTERM, syscall.SIGINT),
		report: notify(syscall.SIGUSR1),
		reload: notify(syscall.SIGHUP),
	}
	signal.Ignore(syscall.SIGPIPE)
	return s
}

func notify(sigs ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, sigs...)
	return c
}
