package proxy

import (
	"sync/atomic"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/body"
)

// largeResponses records which classes have had a response over 64 KiB. A response of unknown size is expected to be large if an
// earlier one of its class was. The classes are set at the start, so no lock is needed.
type largeResponses map[string]*atomic.Bool

func newLargeResponses(classes []balancer.Class) largeResponses {
	seen := largeResponses{}
	for _, class := range classes {
		seen[class.Name] = &atomic.Bool{}
	}
	return seen
}

// record records that a response of a class had at least the given number of bytes.
func (l largeResponses) record(class string, bytes int64) {
	if seen := l[class]; seen != nil && bytes > body.MaxInMemory {
		seen.Store(true)
	}
}

// expected reports whether a response of a class is expected to be large.
func (l largeResponses) expected(class string) bool {
	seen := l[class]
	return seen != nil && seen.Load()
}
