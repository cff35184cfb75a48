// Package counters holds what a node counts. Every request that it receives has one ending: Taken is the sum of Served, Refused,
// Failed, Rejected, Left and Open.
//
// Operators' tools read the JSON at /_counters, so its keys stay as they are. Where a field was renamed
// its tag has the former name.
package counters

import "encoding/json"

// Requests counts requests and their endings.
type Requests struct {
	Taken      Count `json:"taken"`      // handed to the proxy: complete, or up to the rest of a large body
	Served     Count `json:"served"`     // answered 200
	Refused    Count `json:"refused"`    // answered 503 by the balancer's decision
	Failed     Count `json:"failed"`     // answered 502 or 504
	Rejected   Count `json:"rejected"`   // answered without the balancer: malformed (4xx), draining or no capacity (503), deadline passed (504)
	Left       Count `json:"left"`       // the client closed or reset its connection before the answer
	Open       Count `json:"open"`       // in flight now
	Overdue    Count `json:"overdue"`    // of the failed: ended by the watchdog, since the balancer had not decided
	Unanswered Count `json:"unanswered"` // ended without a complete answer although the client was there, as far as is known
	Unsent     Count `json:"unsent"`     // of the served, refused and failed: the client no longer accepted the answer
}

// Shutdown counts what concerns the end of the process.
type Shutdown struct {
	Repeated Count `json:"repeated"` // further signals to end while the node was ending
}

// Operation counts the requests of one class of the settings. An attempt counts once its last byte is written, a request when it
// ends.
type Operation struct {
	Fulfilled Count `json:"fulfilled"` // answered 200
	Throttled Count `json:"throttled"` // answered 503 (or 429) by this node; servers' refusals are not passed on
	Faulted   Count `json:"faulted"`   // every other ending
	Relayed   Count `json:"relayed"`   // attempts written to a server as a whole
}

// Operations holds the counters by class. The classes are set before the node serves and do not change, so no lock is needed.
type Operations map[string]*Operation

// For returns a class's counters. Those of a class that the settings do not have are counted nowhere.
func (o Operations) For(class string) *Operation {
	if counters := o[class]; counters != nil {
		return counters
	}
	return &Operation{}
}

// EndpointCounts describes the endpoint list.
type EndpointCounts struct {
	Entries Count `json:"entries"` // servers in the list, as the balancer has it
	Avoided Count `json:"avoided"` // of these, the ones that get no requests in the ordinary way
}

// Bodies counts what large bodies take.
type Bodies struct {
	Files     Count `json:"files"`      // temporary files of requests, now
	FileBytes Count `json:"file_bytes"` // in them
	Buffers   Count `json:"buffers"`    // of 32 KiB, in use now
	Waited    Count `json:"waited"`     // times a sender was held up for lack of space
	Refused   Count `json:"refused"`    // times no space became free in time
	Passed    Count `json:"passed"`     // large answers that were forwarded to their end
	Broken    Count `json:"broken"`     // large answers that ended early
}

// Handover counts messages between two processes of a node; 0 outside upgrades.
type Handover struct {
	Dropped Count `json:"dropped"` // messages to the other process, and request ids of the other process, beyond what is kept
}

// Admin counts calls of the administrators' listener; 0 where it is off.
type Admin struct {
	Calls   Count  `json:"calls"`   // answered 2xx
	Refused ByCode `json:"refused"` // calls answered otherwise, by status
	Open    Count  `json:"open"`    // connections now
	Evicted Count  `json:"evicted"` // idle connections closed in favour of new ones
}

// Attempts counts attempts to send a request to a server.
type Attempts struct {
	Sent     Count `json:"sent"`     // started for the balancer
	Open     Count `json:"open"`     // under way now
	Written  Count `json:"written"`  // written to a server as a whole
	Late     Count `json:"late"`     // ended at the server after they were given up
	Unwanted Count `json:"unwanted"` // not written, since the client was seen to have gone in that moment
}

// Probes counts load probes.
type Probes struct {
	Sent Count `json:"sent"`
	Open Count `json:"open"` // under way now
}

// Reports counts the servers' load reports.
type Reports struct {
	Read    Count `json:"read"`
	Unknown Count `json:"unknown"` // reports without a known figure
}

// ClientConnections counts the connections of clients.
type ClientConnections struct {
	Opened      Count `json:"opened"`
	Open        Count `json:"open"`              // now
	HeldUnknown Count `json:"held_back_unknown"` // times the kernel did not say whether it defers accepting silent connections
	Paused      Count `json:"paused"`            // times accepting paused: at the limit of connections, or after a failed accept
	Short       Count `json:"short"`             // times a connection took one of the reserved descriptors
}

// ServerConnections counts the connections to servers.
type ServerConnections struct {
	Dialed Count `json:"dialed"`
	Open   Count `json:"open"` // now
	Reused Count `json:"reused"`
}

// ServerList counts what discovery answers.
type ServerList struct {
	Full     Count `json:"full"`             // complete lists
	Delta    Count `json:"delta"`            // lists of changes
	Failed   Count `json:"failed"`           // calls that failed, or whose answer was invalid
	Late     Count `json:"late"`             // times no answer came for longer than a change may take
	Informed Count `json:"informed_unix_ms"` // when the last answer came, in Unix milliseconds; 0: none yet
}

// Inventory counts the work of the inventory subsystem; 0 where it is off.
type Inventory struct {
	Lists        Count `json:"lists"`     // files accepted
	Bad          Count `json:"bad"`       // files that are invalid, missing or unreadable
	Held         Count `json:"held"`      // lists held back, since they would remove too much
	Conflicts    Count `json:"conflicts"` // fields on which sources began to differ
	Pushes       Count `json:"pushes"`    // lists given to the balancer
	Entries      Count `json:"entries"`   // servers in them
	Saves        Count `json:"saves"`
	SaveFailures Count `json:"save_failures"`
}

// Gossip counts messages between nodes; 0 where they exchange none.
type Gossip struct {
	Sent  Count  `json:"sent"`  // datagrams, one for each receiver
	Taken Count  `json:"taken"` // given to the balancer
	Drops ByCode `json:"drops"` // not sent or not accepted, by reason
}

// Cluster counts the work of the cluster subsystem; 0 where it is off.
type Cluster struct {
	Sent          Count  `json:"sent"` // datagrams
	SentBytes     Count  `json:"sent_bytes"`
	Taken         Count  `json:"taken"` // valid messages of this cluster
	TakenBytes    Count  `json:"taken_bytes"`
	Drops         ByCode `json:"drops"`   // not sent or not accepted, by reason
	Streams       Count  `json:"streams"` // full states sent for an answer
	StreamsFailed Count  `json:"streams_failed"`
	Views         Count  `json:"views"`     // changes of the view
	Members       Count  `json:"members"`   // in the view now
	Share         Count  `json:"share_ppm"` // of the fleet's quota, in millionths; 0 where it is off
}

// Shadow counts decisions that other settings would have made differently; 0 where none are evaluated.
type Shadow struct {
	Steps  Count  `json:"steps"`  // of the balancer that were compared
	Differ ByCode `json:"differ"` // differences by kind, each once for a request
	Faults Count  `json:"faults"` // steps that the other settings could not decide
	Micros Count  `json:"micros"` // time spent, in microseconds
}

// CoapServers counts attempts at servers that speak CoAP, which are also among the node's attempts; 0 where there are none.
type CoapServers struct {
	Outcomes    ByCode `json:"outcomes"`
	Retransmits Count  `json:"retransmits"`
	Late        Count  `json:"late"` // answers that nobody waited for any more
	Junk        Count  `json:"junk"` // datagrams that are no answer
}

// Coap counts the work of the CoAP front end, whose requests are also among the node's requests; 0 where it is off.
type Coap struct {
	Datagrams   Count  `json:"datagrams"`
	Drops       ByCode `json:"drops"` // datagrams without a request, by reason
	Pings       Count  `json:"pings"`
	Taken       Count  `json:"taken"`    // requests given to the proxy
	Joined      Count  `json:"joined"`   // repetitions of a request in flight
	Replayed    Count  `json:"replayed"` // repetitions that got the stored answer
	Refused     ByCode `json:"refused"`  // requests that the front end answered itself, by reason
	Answers     ByCode `json:"answers"`  // by code
	Retransmits Count  `json:"retransmits"`
	ReadErrors  Count  `json:"read_errors"`
	SendErrors  Count  `json:"send_errors"`
	Panics      Count  `json:"panics"`
}

// Engine counts the work of the goroutine that runs the balancer.
type Engine struct {
	Events   Count `json:"events"`
	Panics   Count `json:"panics"`
	LateBy   Count `json:"timer_late_max_us"` // the latest that a timer fired, in microseconds
	StepMax  Count `json:"step_max_us"`       // the longest decision, in microseconds
	QueueMax Count `json:"mailbox_max"`       // the most events that waited
}

// LogLines counts lines of the log.
type LogLines struct {
	Dropped Count `json:"dropped"`
}

// Counters holds all counters of one node. It must not be copied.
type Counters struct {
	Requests      Requests          `json:"requests"`
	Stop          Shutdown          `json:"stop"`
	Operations    Operations        `json:"operations"`
	Rejections    ByCode            `json:"rejections"` // why requests were answered without the balancer, by code; also before they count as taken
	Endpoints     EndpointCounts    `json:"registry"`
	Bodies        Bodies            `json:"large_bodies"`
	Handover      Handover          `json:"handover"`
	Admin         Admin             `json:"operator_door"`
	Attempts      Attempts          `json:"attempts"`
	Outcomes      ByCode            `json:"outcomes"` // of attempts, as the balancer learned them
	Rejected      ByCode            `json:"given_up"` // requests that the balancer rejected or failed, by its reason
	Probes        Probes            `json:"probes"`
	ProbeOutcomes ByCode            `json:"probe_outcomes"`
	Reports       Reports           `json:"reports"`
	Clients       ClientConnections `json:"client_connections"`
	ClientEnds    ByCode            `json:"client_connection_ends"` // by reason
	Servers       ServerConnections `json:"server_connections"`
	ServerEnds    ByCode            `json:"server_connection_ends"` // by reason
	ServerList    ServerList        `json:"list"`
	Inventory     Inventory         `json:"inventory"`
	Gossip        Gossip            `json:"peers"`
	Cluster       Cluster           `json:"cluster"`
	Shadow        Shadow            `json:"watch"`
	CoapServers   CoapServers       `json:"coap_servers"`
	Coap          Coap              `json:"coap"`
	Engine        Engine            `json:"engine"`
	LogLines      LogLines          `json:"log_lines"`
}

// JSON returns all counters as one object.
func (c *Counters) JSON() []byte {
	out, err := json.Marshal(c)
	if err != nil { // it holds numbers and maps of numbers only
		return []byte(`{"error":"counters cannot be written"}`)
	}
	return out
}
