package nodeproc

import "runtime"

// holdThread starts processes from one thread that is never given back.
func runStarts() {
	runtime.LockOSThread()
	for start := range starts {
		start()
	}
}
