package filewatch

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/fsnotify/fsnotify"
)

// Options configure Run.
type Options struct {
	Path          string
	Companions    []string      // other files, such as a checksum, whose change causes Path to be read again
	Settle        time.Duration // see Tracker
	SelfVerifying bool          // see Tracker
	PollInterval  time.Duration // between checks without notifications
	MaxBytes      int64         // a larger file is an error
}

// Event is the new content of a file, or the error that prevented reading it.
type Event struct {
	Data []byte // complete content in one state of the file
	Err  error  // set if the file does not exist or cannot be read
}

// Run watches a file until the context ends. It calls handle with the content of each state of the file that it could read
// completely, and with each error unless the error repeats the previous one and the file has not been read in between.
//
// Notifications from the kernel only cause earlier checks. They may be lost, a directory may be replaced, and a symbolic link may be
// switched in a directory that is not watched. Run therefore also checks the file at every poll interval.
func Run(ctx context.Context, o Options, handle func(Event)) {
	w := &watcher{
		options:    o,
		tracker:    Tracker{Settle: o.Settle, SelfVerifying: o.SelfVerifying, ObserveInterval: o.PollInterval},
		handle:     handle,
		companions: make([]FileState, len(o.Companions)),
	}
	w.notifier = w.newNotifier()
	if w.notifier != nil {
		defer func() { _ = w.notifier.Close() }()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case notification, ok := <-w.notifications():
			if ok && !w.isRelevant(notification.Name) {
				continue
			}
		}
		timer.Reset(w.checkFile())
	}
}

// watcher holds the state of Run.
type watcher struct {
	options    Options
	tracker    Tracker
	handle     func(Event)
	notifier   *fsnotify.Watcher // nil if notifications are not available
	companions []FileState       // last observed state of each companion
	lastError  string            // last reported error; empty once the file has been read
}

// newNotifier starts to watch the directory of the file. If the system has no watches left, it returns nil, and Run only polls.
func (w *watcher) newNotifier() *fsnotify.Watcher {
	n, err := fsnotify.NewWatcher()
	if err != nil {
		return nil
	}
	_ = n.Add(filepath.Dir(w.options.Path)) // each check tries again, since the directory may not exist yet
	return n
}

func (w *watcher) notifications() chan fsnotify.Event {
	if w.notifier == nil {
		return nil
	}
	return w.notifier.Events
}

// isRelevant reports whether a notification may concern the file: it has the name of the file, of a companion, or of a link such as
// "..data", which configuration mounts switch to change all their files at once.
func (w *watcher) isRelevant(name string) bool {
	base := filepath.Base(name)
	mountLink := len(base) > 2 && strings.HasPrefix(base, "..")
	if mountLink || base == filepath.Base(w.options.Path) {
		return true
	}
	for _, companion := range w.options.Companions {
		if base == filepath.Base(companion) {
			return true
		}
	}
	return false
}

// checkFile checks the file and its companions once, and reads the file if necessary. It returns the time until the next check.
func (w *watcher) checkFile() time.Duration {
	if w.notifier != nil {
		_ = w.notifier.Add(filepath.Dir(w.options.Path)) // again, since the directory may have been replaced
	}
	w.checkCompanions()
	now := time.Now()
	state, err := stat(w.options.Path)
	if err != nil {
		w.reportError(err)
		return w.options.PollInterval
	}
	switch action, due := w.tracker.Observe(now, state); action {
	case Missing:
		w.reportError(fmt.Errorf("%s does not exist", w.options.Path))
	case WaitForSettle:
		return w.limitToPollInterval(due.Sub(now))
	case ReadNow:
		return w.readFile(state)
	case Unchanged:
	}
	return w.options.PollInterval
}

// checkCompanions causes the file to be read again if a companion has changed.
func (w *watcher) checkCompanions() {
	for i, path := range w.options.Companions {
		state, err := stat(path)
		if err == nil && !state.Equal(w.companions[i]) {
			w.companions[i] = state
			w.tracker.Invalidate()
		}
	}
}

// readFile reads the file in the observed state. It returns the time until the next check.
func (w *watcher) readFile(state FileState) time.Duration {
	data, err := readUnchanged(w.options.Path, state, w.options.MaxBytes)
	if errors.Is(err, errChangedDuringRead) {
		return w.limitToPollInterval(w.options.Settle)
	}
	w.tracker.MarkRead(state)
	if err != nil {
		w.reportError(err)
		return w.options.PollInterval
	}
	w.lastError = ""
	w.handle(Event{Data: data})
	return w.options.PollInterval
}

// limitToPollInterval limits the time until the next check to the range from 1 ms to the poll interval.
func (w *watcher) limitToPollInterval(d time.Duration) time.Duration {
	return min(w.options.PollInterval, max(time.Millisecond, d))
}

// reportError passes an error to the handler unless it repeats the last one.
func (w *watcher) reportError(err error) {
	if text := err.Error(); text != w.lastError {
		w.lastError = text
		w.handle(Event{Err: err})
	}
}
