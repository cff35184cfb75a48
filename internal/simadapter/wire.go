// Package simadapter translates between the simulator's wire (basalt-222b, one JSON value a line)
// and the types of package balancer, and hosts the instances that the simulator plays. It decides
// nothing.
package simadapter

import "encoding/json"

// The wire's own field names stand in the JSON tags below; decode.go and encode.go map its values
// to the balancer's terms.

// Batch is one line of events.
type Batch struct {
	Now    float64 `json:"now_ms"`
	Serial uint64  `json:"serial"`
	Parts  []Part  `json:"parts"`
}

// Part holds the events of one instance.
type Part struct {
	Node  int     `json:"node_id"`
	Items []Event `json:"items"`
}

// Event is any event of the wire; What says which of the other fields are meaningful.
type Event struct {
	What string `json:"what"`

	Nonce   uint64          `json:"nonce64"`
	Options json.RawMessage `json:"options"`

	Ref     int     `json:"ref"`
	Members []Entry `json:"members_list"`
	Form    string  `json:"form"`

	Job      uint64    `json:"job"`
	SizeHint float64   `json:"size_hint_ms"`
	Kind     string    `json:"kind"`
	Object   string    `json:"object"`
	Retry    bool      `json:"retry"`
	Project  Name      `json:"project"`
	Expires  float64   `json:"expires_ms"`
	NoMore   bool      `json:"no_more"`
	RTT      float64   `json:"rtt_ms"`
	Backend  string    `json:"backend"`
	RC       string    `json:"rc"`
	N        int       `json:"n"`
	Feedback []float64 `json:"feedback"`
	Ctx      string    `json:"ctx"`
	From     int       `json:"from"`
	Content  []byte    `json:"content"`
}

// Name is a text that may also come as a number where there is none (a tenant of 0).
type Name string

// UnmarshalJSON reads a text, null or a number.
func (n *Name) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		return json.Unmarshal(b, (*string)(n))
	}
	*n = ""
	return nil
}

// Entry is one server of a list.
type Entry struct {
	Block     int     `json:"block"`
	Readiness string  `json:"readiness"`
	Capacity  float64 `json:"capacity_hint"`
	Backend   string  `json:"backend"`
	AZ        string  `json:"az"`
	Start     float64 `json:"start_time_ms"`
}

// Reply answers a batch.
type Reply struct {
	Serial uint64      `json:"serial"`
	Parts  []ReplyPart `json:"parts"`
}

// ReplyPart holds the actions of one instance.
type ReplyPart struct {
	Node      int   `json:"node_id"`
	Decisions []any `json:"decisions"`
}

type callOut struct {
	What    string  `json:"what"`
	Job     uint64  `json:"job"`
	Stop    float64 `json:"stop_at_ms,omitempty"`
	Backend string  `json:"backend"`
}

type jobAction struct {
	What      string  `json:"what"`
	Job       uint64  `json:"job"`
	NotBefore float64 `json:"not_before_for_ms,omitempty"`
}

type recall struct {
	What string `json:"what"`
	Job  uint64 `json:"job"`
	N    int    `json:"n"`
}

type setTimer struct {
	What string  `json:"what"`
	Ctx  string  `json:"ctx"`
	Time float64 `json:"time_ms"`
}

type backendAction struct {
	What    string `json:"what"`
	Backend string `json:"backend"`
}

type tell struct {
	What    string `json:"what"`
	To      *int   `json:"recipient"`
	Content []byte `json:"content"`
}

type watch struct {
	What string `json:"what"`
	On   bool   `json:"on"`
}

type reason struct {
	What string `json:"what"`
	Text string `json:"reason_text"`
}
