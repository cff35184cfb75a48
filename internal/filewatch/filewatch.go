package filewatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/fsnotify/fsnotify"
)

// Options are how a file is followed.
type Options struct {
	Path          string
	Companions    []string      // further files whose change is to be looked at, such as a checksum
	Settle        time.Duration // see Tracker
	SelfVerifying bool
	PollInterval  time.Duration // between looks where no notification comes
	MaxBytes      int64         // bytes
}

// Seen is what Run tells.
type Event struct {
	Data []byte // of a file read whole
	Err  error  // it is not there, or cannot be read
}

var errMoving = errors.New("the file changes while it is read")

// Run follows a file until the context ends and tells each state of it that was read whole, and the first of a row of
// errors. Notifications of the kernel only make it look sooner: they can be lost, a folder can be replaced, a symbolic
// link can be switched far away, so it looks at every poll as well.
func Run(ctx context.Context, o Options, tell func(Event)) {
	w := &watcher{o: o, tracker: Tracker{Settle: o.Settle, SelfVerifying: o.SelfVerifying}, tell: tell,
		beside: make([]FileState, len(o.Companions))}
	w.notify = w.open()
	if w.notify != nil {
		defer func() { _ = w.notify.Close() }()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case e, ok := <-w.events():
			if ok && !w.ours(e.Name) {
				continue
			}
		}
		timer.Reset(w.look())
	}
}

type watcher struct {
	o       Options
	tracker Tracker
	tell    func(Event)
	notify  *fsnotify.Watcher
	beside  []FileState // of the files beside it, as they were last
	failed  string      // the error told last
}

// open asks for notifications of the file's folder; nil where there are none to be had, and polling has to do.
func (w *watcher) open() *fsnotify.Watcher {
	n, err := fsnotify.NewWatcher()
	if err != nil {
		return nil
	}
	_ = n.Add(filepath.Dir(w.o.Path)) // tried again at each poll: the folder may come later
	return n
}

func (w *watcher) events() chan fsnotify.Event {
	if w.notify == nil {
		return nil
	}
	return w.notify.Events
}

// ours tells whether a notification may concern the file: its own name, one beside it, or a link within the folder that
// configuration mounts switch.
func (w *watcher) ours(name string) bool {
	base := filepath.Base(name)
	if base == filepath.Base(w.o.Path) || len(base) > 2 && base[:2] == ".." {
		return true
	}
	for _, b := range w.o.Companions {
		if base == filepath.Base(b) {
			return true
		}
	}
	return false
}

// look looks once, reads where it is due, and tells after how long to look again.
func (w *watcher) look() time.Duration {
	if w.notify != nil {
		_ = w.notify.Add(filepath.Dir(w.o.Path)) // again, where the folder was replaced; no harm where it stands
	}
	for i, path := range w.o.Companions { // a notification of it may be lost like any other
		if l, err := stat(path); err == nil && !l.Equal(w.beside[i]) {
			w.beside[i] = l
			w.tracker.Invalidate()
		}
	}
	now := time.Now()
	l, err := stat(w.o.Path)
	if err != nil {
		w.fail(err)
		return w.o.PollInterval
	}
	switch verdict, due := w.tracker.Observe(now, l); verdict {
	case Missing:
		w.fail(fmt.Errorf("%s is not there", w.o.Path))
	case WaitForSettle:
		return min(w.o.PollInterval, max(time.Millisecond, due.Sub(now)))
	case ReadNow:
		data, err := read(w.o.Path, l, w.o.MaxBytes)
		if errors.Is(err, errMoving) {
			return min(w.o.PollInterval, max(time.Millisecond, w.o.Settle))
		}
		w.tracker.MarkRead(l)
		if err != nil {
			w.fail(err)
			break
		}
		w.failed = ""
		w.tell(Event{Data: data})
	}
	return w.o.PollInterval
}

// fail tells an error once.
func (w *watcher) fail(err error) {
	if text := err.Error(); text != w.failed {
		w.failed = text
		w.tell(Event{Err: err})
	}
}

func stat(path string) (FileState, error) {
	info, err := os.Stat(path) // through symbolic links: what they lead to is what counts
	if errors.Is(err, os.ErrNotExist) {
		return FileState{}, nil
	}
	if err != nil {
		return FileState{}, err
	}
	return look(path, info)
}

func look(path string, info os.FileInfo) (FileState, error) {
	if !info.Mode().IsRegular() {
		return FileState{}, fmt.Errorf("%s is no plain file", path)
	}
	l := FileState{Exists: true, Size: info.Size(), ModTime: info.ModTime()}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		l.Inode = sys.Ino
	}
	return l, nil
}

// read reads a file whole, and only if it stays as it was looked at: before, in between and after.
func read(path string, want FileState, most int64) ([]byte, error) {
	if want.Size > most {
		return nil, fmt.Errorf("%s has %d bytes, %d at most", path, want.Size, most)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, want.Size+1))
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	opened, err := look(path, info)
	if err != nil {
		return nil, err
	}
	after, err := stat(path)
	if err != nil || !opened.Equal(want) || !after.Equal(want) || int64(len(data)) != want.Size {
		return nil, errMoving
	}
	return data, nil
}
