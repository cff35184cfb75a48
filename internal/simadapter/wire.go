// Package simadapter connects balancers to the simulator. It translates between the simulator's wire format (basalt-222b, one JSON
// value per line) and the types of package balancer, and hosts one balancer instance for each simulated node. It makes no
// load-balancing decisions.
package simadapter

import "encoding/json"

// The JSON tags below are the field names of the wire format. decode.go and encode.go translate its values to the terms of package
// balancer. Times and durations are in milliseconds.

// Batch is one line of input: the events of one or more instances at one simulated time.
type Batch struct {
	Now    float64 `json:"now_ms"`
	Serial uint64  `json:"serial"`
	Parts  []Part  `json:"parts"`
}

// Part holds the events for one instance.
type Part struct {
	Node  int     `json:"node_id"`
	Items []Event `json:"items"`
}

// Event is an event of the wire format. Type determines which of the other fields are set.
type Event struct {
	Type string `json:"what"`

	Nonce   uint64          `json:"nonce64"` // random seed of a new instance
	Options json.RawMessage `json:"options"` // settings of a new instance

	ListNumber int     `json:"ref"`          // number of an endpoint list
	Members    []Entry `json:"members_list"` // endpoints of the list
	Form       string  `json:"form"`         // kind of the endpoint update

	Job           uint64       `json:"job"`          // request id
	SizeHint      float64      `json:"size_hint_ms"` // expected duration of the work
	Kind          string       `json:"kind"`         // class of the request
	Object        string       `json:"object"`       // key of the request
	Retry         bool         `json:"retry"`        // whether the client marked the request as a retry
	Project       OptionalName `json:"project"`      // tenant
	Expires       float64      `json:"expires_ms"`   // deadline of the request
	NoMore        bool         `json:"no_more"`      // whether the request is finished
	RTT           float64      `json:"rtt_ms"`       // duration of the attempt or load probe
	Backend       string       `json:"backend"`      // server id
	ResultCode    string       `json:"rc"`           // outcome, a key of outcomes
	AttemptNumber int          `json:"n"`            // number of the attempt within its request
	Feedback      []float64    `json:"feedback"`     // figures of the load report, see ReportIndexes
	TimerToken    string       `json:"ctx"`          // token of the timer that fired
	From          int          `json:"from"`         // node that sent the gossip message
	Content       []byte       `json:"content"`      // body of the gossip message
}

// OptionalName is a text that may be missing. The wire format then has null or a number, such as 0 for no tenant.
type OptionalName string

// UnmarshalJSON decodes a string. Any other value is decoded as an empty name.
func (n *OptionalName) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		return json.Unmarshal(b, (*string)(n))
	}
	*n = ""
	return nil
}

// Entry is one server of an endpoint list.
type Entry struct {
	Block     int     `json:"block"`     // cell
	Readiness string  `json:"readiness"` // state, a key of endpointStates
	Capacity  float64 `json:"capacity_hint"`
	Backend   string  `json:"backend"`       // server id
	AZ        string  `json:"az"`            // zone
	Start     float64 `json:"start_time_ms"` // start time of the server; 0 if not given
}

// Reply is the answer to one batch.
type Reply struct {
	Serial uint64      `json:"serial"`
	Parts  []ReplyPart `json:"parts"`
}

// ReplyPart holds the encoded actions of one instance.
type ReplyPart struct {
	Node      int   `json:"node_id"`
	Decisions []any `json:"decisions"`
}

// startAttemptMessage starts an attempt of a request.
type startAttemptMessage struct {
	Type    string  `json:"what"`
	Job     uint64  `json:"job"`
	Stop    float64 `json:"stop_at_ms,omitempty"` // deadline of the attempt
	Backend string  `json:"backend"`
}

// requestMessage rejects or fails a request.
type requestMessage struct {
	Type      string  `json:"what"`
	Job       uint64  `json:"job"`
	NotBefore float64 `json:"not_before_for_ms,omitempty"` // Retry-After time; 0 if none
}

// cancelAttemptMessage cancels an attempt of a request.
type cancelAttemptMessage struct {
	Type          string `json:"what"`
	Job           uint64 `json:"job"`
	AttemptNumber int    `json:"n"`
}

// setTimerMessage sets a timer.
type setTimerMessage struct {
	Type       string  `json:"what"`
	TimerToken string  `json:"ctx"`
	Time       float64 `json:"time_ms"`
}

// loadProbeMessage sends a load probe to a server.
type loadProbeMessage struct {
	Type    string `json:"what"`
	Backend string `json:"backend"`
}

// gossipMessage sends a gossip message to the other nodes.
type gossipMessage struct {
	Type    string `json:"what"`
	To      *int   `json:"recipient"` // nil: all other nodes
	Content []byte `json:"content"`
}

// watchMessage turns the watch on the endpoint list on or off.
type watchMessage struct {
	Type string `json:"what"`
	On   bool   `json:"on"`
}

// textMessage is a log message or an internal error.
type textMessage struct {
	Type string `json:"what"`
	Text string `json:"reason_text"`
}
