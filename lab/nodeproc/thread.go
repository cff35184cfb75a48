package nodeproc

import "runtime"

// holdThread starts processes from one thread that is never given back.
func holdThread() {
	runtime.LockOSThread()
	for start := range parents {
		start()
	}
}
