// Package faults makes system calls of a node fail at random, for the soak test. Only a build with the tag faultinject injects
// faults; in every other build the package does nothing. The faults are injected in the program itself because Go makes system
// calls without the C library, so a preloaded library could not intercept them.
package faults

// SeedVariable is the environment variable that holds the seed of the injected faults. If it is unset, no faults are injected.
const SeedVariable = "TACKHUB_FAULTS"
