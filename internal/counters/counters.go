// Package counters holds the counters of a node. Every received request has exactly one outcome: Taken is the sum of Served,
// Refused, Failed, Rejected, ClientDisconnected and Open.
//
// Operators' tools read the JSON at /_counters, so its keys must not change. If a field is renamed, its tag keeps the former
// name.
package counters

import "encoding/json"

// Requests counts requests by outcome.
type Requests struct {
	Taken              Count `json:"taken"`      // passed to the proxy; a large request counts before its whole body has arrived
	Served             Count `json:"served"`     // answered 200
	Refused            Count `json:"refused"`    // answered 503 by the balancer's decision
	Failed             Count `json:"failed"`     // answered 502 or 504
	Rejected           Count `json:"rejected"`   // without the balancer: malformed (4xx), draining or no capacity (503), deadline exceeded (504)
	ClientDisconnected Count `json:"left"`       // the client closed or reset its connection before the response
	Open               Count `json:"open"`       // in flight now
	Overdue            Count `json:"overdue"`    // subset of Failed: ended by the watchdog, since the balancer made no decision in time
	Unanswered         Count `json:"unanswered"` // ended without a complete response, although the client was not known to have disconnected
	Unsent             Count `json:"unsent"`     // subset of Served, Refused and Failed: the response could not be written to the client
}

// Shutdown counts events during the shutdown of the process.
type Shutdown struct {
	Repeated Count `json:"repeated"` // further stop signals during the shutdown
}

// Operation counts the requests and attempts of one class of the settings. An attempt is counted when its last byte has been
// written, a request when it ends.
type Operation struct {
	Fulfilled Count `json:"fulfilled"` // answered 200
	Throttled Count `json:"throttled"` // answered 503 or 429, always by this node, since such responses of servers are not forwarded
	Faulted   Count `json:"faulted"`   // every other outcome; malformed requests are not counted
	Relayed   Count `json:"relayed"`   // attempts written completely to a server
}

// Operations holds the counters by class. The classes are set before the node serves and do not change, so no lock is needed.
type Operations map[string]*Operation

// For returns the counters of a class. For a class that is not in the settings it returns counters that are not reported.
func (o Operations) For(class string) *Operation {
	if counters := o[class]; counters != nil {
		return counters
	}
	return &Operation{}
}

// EndpointCounts holds the size of the endpoint list.
type EndpointCounts struct {
	Entries Count `json:"entries"` // servers in the balancer's endpoint list
	Avoided Count `json:"avoided"` // subset of Entries: ejected or draining servers, which receive no regular requests
}

// Bodies counts the resources that large bodies use.
type Bodies struct {
	Files        Count `json:"files"`         // temporary files of requests now
	FileBytes    Count `json:"file_bytes"`    // bytes in these files
	Buffers      Count `json:"buffers"`       // buffers of 32 KiB in use now
	SmallBuffers Count `json:"small_buffers"` // smaller buffers in use now, since all of 32 KiB were in use
	Waited       Count `json:"waited"`        // times a sender waited for a free file
	Refused      Count `json:"refused"`       // times no file became free in time
	Forwarded    Count `json:"passed"`        // large responses that were forwarded completely
	Truncated    Count `json:"broken"`        // large responses that were cut off
}

// Memory holds the memory account of the node.
type Memory struct {
	Limit   Count  `json:"limit"`   // bytes that may be charged
	Charged Count  `json:"charged"` // bytes charged now: those of all purposes, with what garbage needs beside them
	Peak    Count  `json:"peak"`    // highest value of Charged
	Bytes   ByCode `json:"bytes"`   // bytes in use now, by purpose
	Waited  Count  `json:"waited"`  // times a request waited for memory
	Short   ByCode `json:"short"`   // charges that exceeded the limit, by purpose
	Refused ByCode `json:"refused"` // requests for which no memory came free in time, by purpose
	Evicted Count  `json:"evicted"` // connections that were closed in favor of others, since memory was short
}

// Handover counts messages between two processes of a node. All are 0 without a handover.
type Handover struct {
	Dropped Count `json:"dropped"` // messages to the sibling process, and request ids received from it, that were dropped at a limit
}

// Admin counts calls of the administrators' listener. All are 0 if it is off.
type Admin struct {
	Calls   Count  `json:"calls"`   // answered 2xx
	Refused ByCode `json:"refused"` // calls with any other response, by status
	Open    Count  `json:"open"`    // open connections now
	Evicted Count  `json:"evicted"` // idle connections closed to admit new ones
}

// Attempts counts attempts, each of which sends a request to a server.
type Attempts struct {
	Sent               Count `json:"sent"`     // started by a decision of the balancer
	Open               Count `json:"open"`     // in flight now
	Written            Count `json:"written"`  // written completely to a server
	Late               Count `json:"late"`     // completed by the server after the node had cancelled them
	ClientDisconnected Count `json:"unwanted"` // not written, since the client had already disconnected
}

// Probes counts load probes.
type Probes struct {
	Sent Count `json:"sent"`
	Open Count `json:"open"` // in flight now
}

// Reports counts load reports of servers.
type Reports struct {
	Read    Count `json:"read"`
	Unknown Count `json:"unknown"` // reports without a known metric
}

// ClientConnections counts the connections of clients.
type ClientConnections struct {
	Opened             Count `json:"opened"`
	Open               Count `json:"open"`              // open now
	DeferAcceptUnknown Count `json:"held_back_unknown"` // failed queries for connections without data, whose accept the kernel defers
	Paused             Count `json:"paused"`            // times accepting paused: at the connection limit, or after a failed accept
	Delayed            Count `json:"delayed"`           // requests that followed at once on a response that needed no server
	ReservedUsed       Count `json:"short"`             // times a reserved descriptor was used, or accept lacked descriptors or memory
}

// ServerConnections counts the connections to servers.
type ServerConnections struct {
	Dialed Count `json:"dialed"`
	Open   Count `json:"open"` // open now
	Reused Count `json:"reused"`
	// Suspect counts connections that rest after an answer that came much sooner than all earlier ones of its server.
	Suspect Count `json:"suspect"`
	// Unsolicited counts idle connections that were closed because the server sent bytes on them.
	Unsolicited Count `json:"unsolicited"`
}

// ServerList counts the results of discovery calls.
type ServerList struct {
	Full         Count `json:"full"`             // complete lists
	Delta        Count `json:"delta"`            // lists of changes
	Failed       Count `json:"failed"`           // calls that failed or had an invalid response
	Stale        Count `json:"late"`             // reports that the list is stale: no response within the time in which a change must arrive
	LastResponse Count `json:"informed_unix_ms"` // time of the last response, in Unix milliseconds; 0 before the first one

	AppliedRevision  Count `json:"revision"`          // of the list in use
	ReceivedRevision Count `json:"revision_received"` // of the last list received, whether it was applied or not
	Applied          Count `json:"applied_unix_ms"`   // time of the last list with news, in Unix milliseconds; 0 before the first one
	RejectedEntries  Count `json:"rejected_entries"`  // members of lists that cannot be used; their servers get no new requests
	Serving          Count `json:"serving"`           // servers in discovery's list that get new requests
	Draining         Count `json:"draining"`          // servers in discovery's list that get no new requests
}

// Inventory counts the work of the inventory subsystem. All are 0 if it is off.
type Inventory struct {
	Lists        Count `json:"lists"`     // files accepted
	Invalid      Count `json:"bad"`       // files that are invalid, missing or unreadable
	HeldBack     Count `json:"held"`      // lists held back, since they would remove too many servers
	Conflicts    Count `json:"conflicts"` // fields whose values began to differ between sources
	Pushes       Count `json:"pushes"`    // lists passed to the balancer
	Entries      Count `json:"entries"`   // servers in these lists
	Saves        Count `json:"saves"`
	SaveFailures Count `json:"save_failures"`
}

// Gossip counts messages between nodes. All are 0 if gossip is off.
type Gossip struct {
	Sent  Count  `json:"sent"`  // datagrams, one per receiver
	Taken Count  `json:"taken"` // passed to the balancer
	Drops ByCode `json:"drops"` // messages not sent or not accepted, by reason
}

// Cluster counts the work of the cluster subsystem. All are 0 if it is off.
type Cluster struct {
	Sent          Count  `json:"sent"` // datagrams
	SentBytes     Count  `json:"sent_bytes"`
	Taken         Count  `json:"taken"` // valid messages of this cluster
	TakenBytes    Count  `json:"taken_bytes"`
	Drops         ByCode `json:"drops"`   // messages not sent or not accepted, by reason
	Streams       Count  `json:"streams"` // requests for a member's full state, each with the full state of this node
	StreamsFailed Count  `json:"streams_failed"`
	Views         Count  `json:"views"`     // changes of the membership view
	Members       Count  `json:"members"`   // members in the view now
	QuotaFraction Count  `json:"share_ppm"` // this node's fraction of the fleet's quota, in millionths; 0 if quotas are off
}

// Shadow counts decisions that the shadow settings would have made differently. All are 0 without shadow settings.
type Shadow struct {
	Steps       Count  `json:"steps"`  // compared steps of the balancer
	Differences ByCode `json:"differ"` // differences by kind, each counted once per request
	Faults      Count  `json:"faults"` // steps in which the shadow evaluation failed
	Micros      Count  `json:"micros"` // time spent on the evaluation, in microseconds
}

// CoapServers counts attempts at CoAP servers, which are also counted in Attempts. All are 0 without CoAP servers.
type CoapServers struct {
	Outcomes    ByCode `json:"outcomes"`
	Retransmits Count  `json:"retransmits"`
	Late        Count  `json:"late"` // responses that arrived after the end of their exchange
	Invalid     Count  `json:"junk"` // datagrams that are not responses
}

// Coap counts the work of the CoAP front end, whose requests are also counted in Requests. All are 0 if it is off.
type Coap struct {
	Datagrams   Count  `json:"datagrams"`
	Drops       ByCode `json:"drops"` // dropped datagrams, by reason
	Pings       Count  `json:"pings"`
	Taken       Count  `json:"taken"`    // requests passed to the proxy
	Joined      Count  `json:"joined"`   // repeats of a request in flight
	Replayed    Count  `json:"replayed"` // repeats that were answered with the stored response
	Refused     ByCode `json:"refused"`  // requests that the front end rejected itself, by reason
	Answers     ByCode `json:"answers"`  // responses by code
	Retransmits Count  `json:"retransmits"`
	ReadErrors  Count  `json:"read_errors"`
	SendErrors  Count  `json:"send_errors"`
	Panics      Count  `json:"panics"`
}

// Engine holds figures about the goroutine that runs the balancer.
type Engine struct {
	Events        Count `json:"events"`
	Panics        Count `json:"panics"`
	MaxTimerDelay Count `json:"timer_late_max_us"` // the longest time from the due time of a timer to its firing, in microseconds
	MaxStep       Count `json:"step_max_us"`       // the longest step of the balancer, in microseconds
	MaxQueue      Count `json:"mailbox_max"`       // the largest number of queued events
}

// LogLines counts log lines.
type LogLines struct {
	Dropped Count `json:"dropped"`
}

// Counters holds all counters of one node. It must not be copied.
type Counters struct {
	Requests      Requests          `json:"requests"`
	Stop          Shutdown          `json:"stop"`
	Operations    Operations        `json:"operations"`
	Rejections    ByCode            `json:"rejections"` // responses without a decision of the balancer, by code; Requests.Taken does not count all of these
	Endpoints     EndpointCounts    `json:"registry"`
	Bodies        Bodies            `json:"large_bodies"`
	Memory        Memory            `json:"memory"`
	Handover      Handover          `json:"handover"`
	Admin         Admin             `json:"operator_door"`
	Attempts      Attempts          `json:"attempts"`
	Outcomes      ByCode            `json:"outcomes"` // attempts by the outcome that was reported to the balancer
	Rejected      ByCode            `json:"given_up"` // requests that the balancer rejected or failed, by reason
	Probes        Probes            `json:"probes"`
	ProbeOutcomes ByCode            `json:"probe_outcomes"`
	Reports       Reports           `json:"reports"`
	Clients       ClientConnections `json:"client_connections"`
	ClientEnds    ByCode            `json:"client_connection_ends"` // closed connections by reason
	Servers       ServerConnections `json:"server_connections"`
	ServerEnds    ByCode            `json:"server_connection_ends"` // closed connections by reason
	ServerList    ServerList        `json:"list"`
	ListRejected  ByCode            `json:"list_rejected"` // discovery calls without an applied list, by reason
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
	if err != nil { // not expected, since the counters are numbers and maps of numbers
		return []byte(`{"error":"counters cannot be written"}`)
	}
	return out
}
