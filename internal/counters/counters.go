// Package counters holds what a node counts of its work. Every request taken in has one ending: taken is the
// sum of served, refused, failed, rejected, left and open.
package counters

import (
	"encoding/json"
	"sync"
	"sync/atomic"
)

// Count is one number that only grows, or a gauge that is set.
type Count struct{ n atomic.Int64 }

// Add adds to the count.
func (c *Count) Add(n int64) { c.n.Add(n) }

// Inc adds one.
func (c *Count) Inc() { c.n.Add(1) }

// Set puts a gauge at n.
func (c *Count) Set(n int64) { c.n.Store(n) }

// Get reads the count.
func (c *Count) Get() int64 { return c.n.Load() }

// MarshalJSON writes the number.
func (c *Count) MarshalJSON() ([]byte, error) { return json.Marshal(c.n.Load()) }

// Group counts by a code, such as the reason of an ending.
type ByCode struct {
	mu sync.Mutex
	m  map[string]int64
}

// Inc adds one to the code's count.
func (g *ByCode) Inc(code string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.m == nil {
		g.m = map[string]int64{}
	}
	g.m[code]++
}

// Get reads a code's count.
func (g *ByCode) Get(code string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.m[code]
}

// MarshalJSON writes the codes and their counts.
func (g *ByCode) MarshalJSON() ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.m == nil {
		return []byte("{}"), nil
	}
	return json.Marshal(g.m)
}

// Operation are the counts of one class of the settings. An attempt counts once its last byte is written, a request
// where it ends.
type Operation struct {
	Fulfilled Count `json:"fulfilled"` // answered 200
	Throttled Count `json:"throttled"` // answered 429 or 503, whoever worded it
	Faulted   Count `json:"faulted"`   // every other ending of a request of the class
	Relayed   Count `json:"relayed"`   // attempts written whole to a server
}

// Operations are the counts by class. The classes are set before the node serves and then stay, so that reading and
// counting take no lock.
type Operations map[string]*Operation

// For gives a class's counts; those of a class that the settings do not have count nowhere.
func (o Operations) For(class string) *Operation {
	if c := o[class]; c != nil {
		return c
	}
	return &Operation{}
}

// Bodies are the counts of what large bodies take.
type Bodies struct {
	Files     Count `json:"files"`      // of requests, now
	FileBytes Count `json:"file_bytes"` // in them
	Buffers   Count `json:"buffers"`    // of 32 KiB, in use now
	Waited    Count `json:"waited"`     // times a sender was held up for room
	Refused   Count `json:"refused"`    // times no room came free in time
	Passed    Count `json:"passed"`     // large answers passed on whole
	Broken    Count `json:"broken"`     // large answers that ended before they were whole
}

// Coap are the counts of the CoAP front. Requests that it takes are counted among the node's requests as well.
type Coap struct {
	Datagrams   Count  `json:"datagrams"`
	Drops       ByCode `json:"drops"` // datagrams that no request came of, by reason
	Pings       Count  `json:"pings"`
	Taken       Count  `json:"taken"`    // requests handed to the exchange
	Joined      Count  `json:"joined"`   // repeats of a request in hand
	Replayed    Count  `json:"replayed"` // repeats that got the stored answer
	Refused     ByCode `json:"refused"`  // requests that the front itself answered, by reason
	Answers     ByCode `json:"answers"`  // by code
	Retransmits Count  `json:"retransmits"`
	ReadErrors  Count  `json:"read_errors"`
	SendErrors  Count  `json:"send_errors"`
	Panics      Count  `json:"panics"`
}

// CoapBack are the counts of attempts at servers that speak CoAP. They are counted among the node's attempts as well.
type CoapServers struct {
	Outcomes    ByCode `json:"outcomes"`
	Retransmits Count  `json:"retransmits"`
	Late        Count  `json:"late"` // answers that nobody waited for any more
	Junk        Count  `json:"junk"`
}

// Peers are the counts of messages between nodes.
type Gossip struct {
	Sent  Count  `json:"sent"`  // datagrams, one for each node told
	Taken Count  `json:"taken"` // handed to the module
	Drops ByCode `json:"drops"` // not sent or not taken, by reason
}

// Cluster are the counts of the link among the members of a cluster.
type Cluster struct {
	Sent          Count  `json:"sent"` // datagrams
	SentBytes     Count  `json:"sent_bytes"`
	Taken         Count  `json:"taken"` // messages that could be read and were this cluster's
	TakenBytes    Count  `json:"taken_bytes"`
	Drops         ByCode `json:"drops"`   // not sent or not taken, by reason
	Streams       Count  `json:"streams"` // full states sent to be answered
	StreamsFailed Count  `json:"streams_failed"`
	Views         Count  `json:"views"`
	Members       Count  `json:"members"`   // in the view now
	Share         Count  `json:"share_ppm"` // of the whole fleet's budgets, in millionths; 0 where shares are off
}

// Watch are the counts of decisions that other settings would have made otherwise.
type Shadow struct {
	Steps  Count  `json:"steps"`  // steps of the module that were compared
	Differ ByCode `json:"differ"` // differences by kind, each once for a request
	Faults Count  `json:"faults"` // steps that the other settings could not decide
	Micros Count  `json:"micros"` // time spent on it, in microseconds
}

// Counters are all counts of one node.
type Counters struct {
	Requests struct {
		Taken    Count `json:"taken"`    // requests read whole
		Served   Count `json:"served"`   // answered 200
		Refused  Count `json:"refused"`  // answered 503 by the module's decision
		Failed   Count `json:"failed"`   // answered 502 or 504
		Rejected Count `json:"rejected"` // answered 4xx: not in the protocol's form
		Left     Count `json:"left"`     // the client left before its answer
		Open     Count `json:"open"`     // in hand now
		Overdue  Count `json:"overdue"`  // of the failed: ended by the guard, since the module had not answered
		// Unanswered ended without a whole answer although their clients were there as far as is known.
		Unanswered Count `json:"unanswered"`
		Unsent     Count `json:"unsent"` // of the served, refused and failed: the client took the answer no more
	} `json:"requests"`
	Stop struct {
		Repeated Count `json:"repeated"` // signals to end that came while the node was ending
	} `json:"stop"`
	Operations Operations `json:"operations"` // by class
	Rejections ByCode     `json:"rejections"` // why requests were rejected
	Registry   struct {
		Entries Count `json:"entries"` // servers in the list as the module has it
		Avoided Count `json:"avoided"` // of these, the ones that get nothing in the ordinary way
	} `json:"registry"`
	Bodies   Bodies `json:"large_bodies"`
	Handover struct {
		Dropped Count `json:"dropped"` // messages for the other process of an upgrade, and ids of its, beyond what is kept
	} `json:"handover"` // all 0 outside upgrades
	Admin struct {
		Calls   Count  `json:"calls"`   // answered 2xx
		Refused ByCode `json:"refused"` // calls answered otherwise, by status
		Open    Count  `json:"open"`    // callers now
		Evicted Count  `json:"evicted"` // callers that said nothing and made way for others
	} `json:"operator_door"` // all 0 where staff have none
	Attempts struct {
		Sent    Count `json:"sent"`    // started for the module
		Open    Count `json:"open"`    // out now
		Written Count `json:"written"` // written whole to a server
		Late    Count `json:"late"`    // ended at the server after they were given up
		// Unwanted were not written: their clients were seen to have gone in that moment.
		Unwanted Count `json:"unwanted"`
	} `json:"attempts"`
	Outcomes ByCode `json:"outcomes"` // of attempts, as told to the module
	Rejected ByCode `json:"given_up"` // requests that the module refused or failed, by its reason
	Probes   struct {
		Sent Count `json:"sent"`
		Open Count `json:"open"`
	} `json:"probes"`
	ProbeOutcomes ByCode `json:"probe_outcomes"`
	Reports       struct {
		Read    Count `json:"read"`
		Unknown Count `json:"unknown"` // reports that came and held no figure we know
	} `json:"reports"`
	Clients struct {
		Opened Count `json:"opened"`
		Open   Count `json:"open"`
		// HeldUnknown counts the times that the kernel did not tell whether it holds connections back.
		HeldUnknown Count `json:"held_back_unknown"`
		Paused      Count `json:"paused"` // times accepting paused for want of descriptors
		Short       Count `json:"short"`  // times a connection took one of the descriptors that are set aside
	} `json:"client_connections"`
	ClientEnds ByCode `json:"client_connection_ends"` // by reason code
	Servers    struct {
		Dialed Count `json:"dialed"`
		Open   Count `json:"open"`
		Reused Count `json:"reused"`
	} `json:"server_connections"`
	ServerEnds ByCode `json:"server_connection_ends"` // by reason code
	ServerList struct {
		Full   Count `json:"full"`
		Delta  Count `json:"delta"`
		Failed Count `json:"failed"` // calls to discovery that failed or told nonsense
		Late   Count `json:"late"`   // times that no answer came for longer than news may take
		// Informed is when the last answer came, as Unix time in milliseconds; 0: none yet.
		Informed Count `json:"informed_unix_ms"`
	} `json:"list"`
	Inventory struct { // of the subsystem; all 0 where it is off
		Lists        Count `json:"lists"`     // files taken
		Bad          Count `json:"bad"`       // files refused, missing or not readable
		Held         Count `json:"held"`      // lists held for taking away too much
		Conflicts    Count `json:"conflicts"` // fields on which sources began to differ
		Pushes       Count `json:"pushes"`    // to the module
		Entries      Count `json:"entries"`   // servers in them
		Saves        Count `json:"saves"`
		SaveFailures Count `json:"save_failures"`
	} `json:"inventory"`
	Gossip      Gossip      `json:"peers"`        // all 0 where nodes do not talk
	Cluster     Cluster     `json:"cluster"`      // of the subsystem; all 0 where it is off
	Shadow      Shadow      `json:"watch"`        // all 0 where no other settings are watched
	CoapServers CoapServers `json:"coap_servers"` // all 0 where no server speaks it
	Coap        Coap        `json:"coap"`         // of the subsystem; all 0 where it is off
	Engine      struct {
		Events   Count `json:"events"`
		Panics   Count `json:"panics"`
		LateBy   Count `json:"timer_late_max_us"` // the latest that a timer fired, in microseconds
		StepMax  Count `json:"step_max_us"`       // the longest decision, in microseconds
		QueueMax Count `json:"mailbox_max"`
	} `json:"engine"`
	LogLines struct {
		Dropped Count `json:"dropped"`
	} `json:"log_lines"`
}

// Max raises the count to n if it is lower.
func (c *Count) Max(n int64) {
	for {
		old := c.n.Load()
		if old >= n || c.n.CompareAndSwap(old, n) {
			return
		}
	}
}

// JSON writes all counts as one object.
func (c *Counters) JSON() []byte {
	out, err := json.Marshal(c)
	if err != nil {
		return []byte(`{"error":"counters cannot be written"}`) // only numbers and maps of numbers are in it
	}
	return out
}
