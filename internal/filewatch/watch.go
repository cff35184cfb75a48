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
	Companions    []string      // further files whose change has Path read again, such as a checksum
	Settle        time.Duration // see Tracker
	SelfVerifying bool          // see Tracker
	PollInterval  time.Duration // between looks where no notification comes
	MaxBytes      int64         // a larger file is an error
}

// Event is a file's new content, or why there is none.
type Event struct {
	Data []byte // complete, from one state of the file
	Err  error  // the file does not exist or cannot be read; nil if there is data
}

// Run follows a file until the context ends. It hands over each state of the file that it could read completely, and each
// error once until it changes or the file is read.
//
// The kernel's notifications only make it look sooner. They may be lost, a folder may be replaced, and a symbolic link may
// be switched in a folder that is not watched; so it also looks at every poll interval.
func Run(ctx context.Context, o Options, handle func(Event)) {
	w := &watcher{
		options:    o,
		tracker:    Tracker{Settle: o.Settle, SelfVerifying: o.SelfVerifying},
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
		case e, ok := <-w.notifications():
			if ok && !w.concerns(e.Name) {
				continue
			}
		}
		timer.Reset(w.look())
	}
}

// watcher is the state of Run.
type watcher struct {
	options    Options
	tracker    Tracker
	handle     func(Event)
	notifier   *fsnotify.Watcher // nil where there are no notifications to be had
	companions []FileState       // as they were seen last
	lastError  string            // that was handed over and still holds
}

// newNotifier watches the file's folder; nil if the system has no watches left, and polling has to do.
func (w *watcher) newNotifier() *fsnotify.Watcher {
	n, err := fsnotify.NewWatcher()
	if err != nil {
		return nil
	}
	_ = n.Add(filepath.Dir(w.options.Path)) // tried again by each look: the folder may come later
	return n
}

func (w *watcher) notifications() chan fsnotify.Event {
	if w.notifier == nil {
		return nil
	}
	return w.notifier.Events
}

// concerns reports whether a notification may be about the file: it has its name, a companion's, or that of a link such as
// "..data" which configuration mounts switch to change all their files at once.
func (w *watcher) concerns(name string) bool {
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

// look looks at the files once and reads the file if that is due. It returns the time until the next look.
func (w *watcher) look() time.Duration {
	if w.notifier != nil {
		_ = w.notifier.Add(filepath.Dir(w.options.Path)) // again, since the folder may have been replaced
	}
	w.lookAtCompanions()
	now := time.Now()
	state, err := stat(w.options.Path)
	if err != nil {
		w.reportError(err)
		return w.options.PollInterval
	}
	switch action, due := w.tracker.Observe(now, state); action {
	case Missing:
		w.reportError(fmt.Errorf("%s is not there", w.options.Path))
	case WaitForSettle:
		return w.noLaterThanPoll(due.Sub(now))
	case ReadNow:
		return w.readFile(state)
	case Unchanged:
	}
	return w.options.PollInterval
}

// lookAtCompanions has the file read again if a companion has changed.
func (w *watcher) lookAtCompanions() {
	for i, path := range w.options.Companions {
		state, err := stat(path)
		if err == nil && !state.Equal(w.companions[i]) {
			w.companions[i] = state
			w.tracker.Invalidate()
		}
	}
}

// readFile reads the file in the state that was seen. It returns the time until the next look.
func (w *watcher) readFile(state FileState) time.Duration {
	data, err := read(w.options.Path, state, w.options.MaxBytes)
	if errors.Is(err, errChanging) {
		return w.noLaterThanPoll(w.options.Settle)
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

// noLaterThanPoll bounds the time until the next look.
func (w *watcher) noLaterThanPoll(d time.Duration) time.Duration {
	return min(w.options.PollInterval, max(time.Millisecond, d))
}

// reportError hands over an error unless it is the one before again.
func (w *watcher) reportError(err error) {
	if text := err.Error(); text != w.lastError {
		w.lastError = text
		w.handle(Event{Err: err})
	}
}
