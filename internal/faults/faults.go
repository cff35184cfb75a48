// Package faults makes system calls of a node fail, for the soak test. Only a build with the tag faultinject does so; in every
// other build it does nothing. The faults are injected at the edge of the program because Go makes its system calls without
// the C library, so that a preloaded library would not be called.
package faults

// SeedVariable is the environment variable with the seed of the faults. Without it there are none.
const SeedVariable = "TACKHUB_FAULTS"
