package dedup

import (
	"container/list"
	"time"
)

// EntryCost is what an exchange is counted for beside its response, in bytes: the entry, and its place in the maps and lists.
const EntryCost = 330

// entry is an exchange that the table remembers.
type entry struct {
	key          Key
	fingerprint  uint64
	evictable    bool // running its request again does no harm
	inProgress   bool
	acknowledged bool
	response     []byte
	expiresAt    time.Duration
	lifetime     lifetime
	byExpiry     *list.Element // in the list of its lifetime
	byCompletion *list.Element // in the list of evictable responses; nil while it is in no such list
}

// cost is what the entry is counted for, in bytes.
func (e *entry) cost() int { return EntryCost + len(e.response) }

// lifetime is how long an exchange is remembered.
type lifetime int

// The lifetimes.
const (
	confirmable    lifetime = iota // ExchangeLifetime
	nonConfirmable                 // NonLifetime
	lifetimes                      // how many there are
)

// lifetimeOf is the lifetime of a message's exchange.
func lifetimeOf(m Message) (lifetime, time.Duration) {
	if m.Confirmable {
		return confirmable, ExchangeLifetime
	}
	return nonConfirmable, NonLifetime
}
