package discovery

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

// ListHandler receives the server list and its changes. Calls come one at a time, but not always from the same goroutine.
type ListHandler interface {
	UpdateEndpoints(balancer.EndpointUpdate)
}

// MemberHandler is a ListHandler that wants members as discovery describes them. HandleMembers then gets every list, and
// UpdateEndpoints only the events that carry none: failed calls and staleness.
type MemberHandler interface {
	HandleMembers(list List, kind balancer.UpdateKind)
}

// Options configure a Client.
type Options struct {
	Address string // of the discovery service, host:port

	// Nodes is how many nodes poll the same discovery service; 0: not known, taken for few.
	Nodes int

	// WatchOnRequest has the client call discovery only after WatchEndpoints, instead of all the time.
	WatchOnRequest bool

	// MaxPollInterval is the time after which discovery takes a node that has not called for informed; 0: never.
	MaxPollInterval time.Duration

	// DrainGrace is how long requests may still go to a server after discovery has reported that it drains.
	DrainGrace time.Duration

	Dial  Dial // nil: TCP
	Log   *slog.Logger
	Count *counters.Counters
}

// Client follows the list of one discovery service. Its methods may be called from any goroutine.
type Client struct {
	intervals      intervals
	watchOnRequest bool          // calls are made only after WatchEndpoints
	requested      chan struct{} // holds one element after WatchEndpoints
	dial           Dial
	addressChanged chan struct{} // holds one element after SetAddress, until Run has noticed
	log            *slog.Logger
	count          *counters.Counters
	running        atomic.Bool

	staleness staleness

	mu        sync.RWMutex
	members   map[balancer.ServerID]Member
	revision  int64
	transport *transport

	handler ListHandler // set once, by Run
}

// New returns a client that holds a list known from before, which may be empty. Nothing is called until Run.
func New(o Options, known List) *Client {
	dial := o.Dial
	if dial == nil {
		dial = dialTCP
	}
	c := &Client{
		intervals:      intervalsFor(o),
		watchOnRequest: o.WatchOnRequest,
		requested:      make(chan struct{}, 1),
		dial:           dial,
		addressChanged: make(chan struct{}, 1),
		log:            o.Log,
		count:          o.Count,
		members:        map[balancer.ServerID]Member{},
		transport:      newTransport(o.Address, dial),
	}
	known.Complete = true
	c.updateMembers(known)
	return c
}

// Address returns where a server listens; false if it is not in the list or is to get no new requests.
func (c *Client) Address(id balancer.ServerID) (string, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	m := c.members[id]
	if m.Phase != PhaseServing {
		return "", false
	}
	return m.HostPort, true
}

// Size returns the number of servers in the list.
func (c *Client) Size() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.members)
}

// List returns the complete list as it is held now.
func (c *Client) List() List {
	c.mu.RLock()
	defer c.mu.RUnlock()
	list := List{Revision: c.revision, Complete: true, Members: make([]Member, 0, len(c.members))}
	for _, m := range c.members {
		list.Members = append(list.Members, m)
	}
	return list
}

// WatchEndpoints requests that the list be followed, for a client with Options.WatchOnRequest. It does not block.
func (c *Client) WatchEndpoints() {
	select {
	case c.requested <- struct{}{}:
	default: // requested already
	}
}

// SetAddress follows discovery at another address, or starts over at the same one. The call in flight is aborted and the
// complete list is requested; until it arrives the present list and addresses stay in use.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	old := c.transport
	c.transport = newTransport(address, c.dial)
	// Signalled before the new transport can be seen, so that Run, which takes the signal back once it has noticed, is not
	// woken later for a change long made.
	select {
	case c.addressChanged <- struct{}{}:
	default:
	}
	c.mu.Unlock()
	old.abort()
}

// Refetch requests the complete list anew if the client is running: whoever handles the list has changed.
func (c *Client) Refetch() {
	if c.running.Load() {
		c.SetAddress(c.currentTransport().client.Addr)
	}
}

func (c *Client) currentTransport() *transport {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.transport
}

// updateMembers applies an answer to the members held. The address of a server may change when it restarts.
func (c *Client) updateMembers(list List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = list.Revision
	if list.Complete {
		clear(c.members)
	}
	for _, m := range list.Members {
		id := balancer.ServerID(m.ID)
		if m.Phase == PhaseDeleted {
			delete(c.members, id)
		} else {
			c.members[id] = m
		}
	}
}

// publish hands a list to the handler, in the form that it wants.
func (c *Client) publish(list List, kind balancer.UpdateKind) {
	if h, ok := c.handler.(MemberHandler); ok {
		h.HandleMembers(list, kind)
		return
	}
	c.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: kind, Endpoints: list.Endpoints()})
}
