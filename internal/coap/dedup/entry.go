package dedup

import (
	"container/list"
	"time"
)

// EntryCost is the size in bytes that is counted for an exchange in addition to its response. It covers the entry and
// its elements in the maps and lists.
const EntryCost = 330

// entry is a stored exchange.
type entry struct {
	key          Key
	fingerprint  uint64
	older        *entry    // the previous exchange with the same key and another fingerprint; nil if there is none
	retention    Retention // Evictable from the start for an idempotent request; otherwise set with the response
	inProgress   bool
	acknowledged bool
	response     []byte
	expiresAt    time.Duration
	lifetime     lifetime
	byExpiry     *list.Element // in Table.expiryLists
	byCompletion *list.Element // in the list of Table.evictable for its retention; nil if it is in none
}

// cost returns the size in bytes that is counted for the entry.
func (e *entry) cost() int { return EntryCost + len(e.response) }

// lifetime is the kind of an exchange's lifetime, which depends on the type of its message.
type lifetime int

// The lifetimes.
const (
	confirmable    lifetime = iota // ExchangeLifetime
	nonConfirmable                 // NonLifetime
	lifetimeCount                  // the number of lifetimes
)

// lifetimeOf returns the kind and the duration of the lifetime of a message's exchange.
func lifetimeOf(m Message) (lifetime, time.Duration) {
	if m.Confirmable {
		return confirmable, ExchangeLifetime
	}
	return nonConfirmable, NonLifetime
}
