package discovery

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

// ListHandler receives the endpoint list and its changes. Its method is never called concurrently, but the calls may come from
// different goroutines.
type ListHandler interface {
	UpdateEndpoints(balancer.EndpointUpdate)
}

// MemberHandler is implemented by a ListHandler that needs the members in discovery's form. HandleMembers then receives every list,
// and UpdateEndpoints receives only the events without a list: failed calls and staleness.
type MemberHandler interface {
	HandleMembers(list List, kind balancer.UpdateKind)
}

// Options configure a Client.
type Options struct {
	Address string // host:port of the discovery service

	// Nodes is the number of nodes that poll the same discovery service; 0: unknown, treated as a small fleet.
	Nodes int

	// WatchOnRequest makes the client call discovery only after WatchEndpoints, instead of continuously.
	WatchOnRequest bool

	// MaxPollInterval is the time after which discovery considers a node notified of every change even if it has not polled;
	// 0: never.
	MaxPollInterval time.Duration

	// DrainGrace is how long requests may still go to a server after discovery has reported that the server is draining.
	DrainGrace time.Duration

	Dial  Dial // nil: TCP
	Log   *slog.Logger
	Count *counters.Counters
}

// Client keeps the endpoint list of one discovery service up to date. Its methods are safe for concurrent use.
type Client struct {
	intervals      intervals
	watchOnRequest bool          // discovery is called only after WatchEndpoints
	watchRequested chan struct{} // holds one element after WatchEndpoints, until Run has received it
	dial           Dial
	addressChanged chan struct{} // holds one element after SetAddress, until Run has received it
	log            *slog.Logger
	count          *counters.Counters
	running        atomic.Bool
	responded      chan struct{} // closed when the first response has been applied
	changed        chan struct{} // holds one element after a list was applied, until Changed's reader has received it

	staleness staleness

	// Guarded by staleness.mu.
	appliedFrom     *transport    // the transport of the last applied list; nil: none was applied
	failures        failureStreak // consecutive failed calls
	rejectedEntries failureStreak // lists with members that cannot be used

	mu        sync.RWMutex
	members   map[balancer.ServerID]Member
	owners    addressOwners
	revision  int64
	known     bool // members is a list of discovery, not the lack of one; an empty list may be known
	transport *transport

	handler ListHandler // set once, by Run
}

// New returns a client that starts with a cached list, which may be empty. It makes no calls before Run.
func New(o Options, cached List) *Client {
	dial := o.Dial
	if dial == nil {
		dial = dialTCP
	}
	c := &Client{
		intervals:      intervalsFor(o),
		watchOnRequest: o.WatchOnRequest,
		watchRequested: make(chan struct{}, 1),
		dial:           dial,
		addressChanged: make(chan struct{}, 1),
		log:            o.Log,
		count:          o.Count,
		responded:      make(chan struct{}),
		changed:        make(chan struct{}, 1),
		members:        map[balancer.ServerID]Member{},
		transport:      newTransport(o.Address, dial),
	}
	cached.Complete = true
	c.updateMembers(cached)
	c.known = len(cached.Members) > 0
	return c
}

// Address returns the host:port of a server. It returns false if the server is not in the list or must not get new requests, or if
// another server has come up at its address since.
func (c *Client) Address(id balancer.ServerID) (string, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	m := c.members[id]
	if m.Phase != PhaseServing || c.owners.isSuperseded(id) {
		return "", false
	}
	return m.HostPort, true
}

// Revision returns the revision of the current list.
func (c *Client) Revision() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revision
}

// Size returns the number of servers in the list.
func (c *Client) Size() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.members)
}

// List returns the current list. It is complete unless nothing is known: there is no cached list, and discovery has not responded.
func (c *Client) List() List {
	c.mu.RLock()
	defer c.mu.RUnlock()
	list := List{Revision: c.revision, Complete: c.known, Members: make([]Member, 0, len(c.members))}
	for _, m := range c.members {
		list.Members = append(list.Members, m)
	}
	return list
}

// Changed returns a channel that receives a value after lists of discovery with members, or complete ones, were applied; one value
// for several lists that follow each other closely. It has one reader.
func (c *Client) Changed() <-chan struct{} { return c.changed }

// ServiceAddress returns the address of the discovery service, as host:port.
func (c *Client) ServiceAddress() string { return c.currentTransport().client.Addr }

// Restore replaces the cached list with which the client was made. It returns false without an effect if Run has been called. The list
// must also be passed to Run.
func (c *Client) Restore(list List) bool {
	if c.running.Load() {
		return false
	}
	list.Complete = true
	c.updateMembers(list)
	return true
}

// AwaitFirstResponse waits until discovery's first response has been applied, for at most firstResponseTimeout. With
// Options.WatchOnRequest it does not wait, since the balancer spreads the first calls of the fleet over a longer time.
func (c *Client) AwaitFirstResponse(ctx context.Context) {
	if c.watchOnRequest {
		return
	}
	timer := time.NewTimer(firstResponseTimeout)
	defer timer.Stop()
	select {
	case <-c.responded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// WatchEndpoints starts following the list if Options.WatchOnRequest is set. It does not block.
func (c *Client) WatchEndpoints() {
	select {
	case c.watchRequested <- struct{}{}:
	default: // already requested
	}
}

// SetAddress switches to discovery at another address, or reconnects to the same one. It aborts the call in flight and requests
// the complete list. The current list and its addresses stay in use until that list arrives.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	old := c.transport
	c.transport = newTransport(address, c.dial)
	// The signal is sent before the new transport becomes visible, since Run clears the signal when it sees the new
	// transport. A later signal would wake Run for a change that it has already handled.
	select {
	case c.addressChanged <- struct{}{}:
	default:
	}
	c.mu.Unlock()
	old.abort()
}

// Refetch requests the complete list again if the client is running. It is called when another component has begun to process the
// list.
func (c *Client) Refetch() {
	if c.running.Load() {
		c.SetAddress(c.ServiceAddress())
	}
}

func (c *Client) currentTransport() *transport {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.transport
}
