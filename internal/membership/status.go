package membership

import (
	"slices"
	"time"
)

// LinkState describes in which directions messages between this process and a member arrive.
type LinkState string

// The values, as shown in the status.
const (
	LinkUnknown LinkState = "unknown" // the member has not answered yet
	LinkWorking LinkState = "whole"
	LinkBroken  LinkState = "broken"
	LinkOneWay  LinkState = "one-way" // the member's messages arrive, but it does not answer this process
)

// Status is the complete state of a process, for operators.
type Status struct {
	Name            string       `json:"name"`
	Generation      uint64       `json:"start"`
	Incarnation     uint32       `json:"incarnation"`
	State           State        `json:"state"`
	Connectivity    Connectivity `json:"condition"`
	LocalHealth     int          `json:"distrust"` // from 0 (healthy) to 4
	View            View         `json:"view"`
	Members         []Member     `json:"members"`
	RejectedMembers int          `json:"refused"` // number of times a member was not added because the table was full
}

// Member is another member with the evidence for its state. Ages and durations are in milliseconds; -1 means never.
type Member struct {
	Name               string           `json:"name"`
	Address            string           `json:"address"`
	Generation         uint64           `json:"start"`
	Incarnation        uint32           `json:"incarnation"`
	State              State            `json:"state"`
	StateAge           int64            `json:"for_ms"`
	SinceReceived      int64            `json:"heard_ms"`   // since its latest message arrived at this process
	SinceAcked         int64            `json:"reached_ms"` // since it last answered this process
	SinceSeen          int64            `json:"seen_ms"`    // since the latest message from it that any member is known to have received
	Link               LinkState        `json:"link"`
	OwnConnectivity    Connectivity     `json:"own_condition"` // as reported by the member itself
	SuspectedBy        map[string]int64 `json:"missed_by,omitempty"`
	HeardBy            map[string]int64 `json:"heard_by,omitempty"`
	LossCount          int              `json:"lost_times"`               // times it became unreachable, each within a minute of the previous one
	DampedFor          int64            `json:"damped_ms,omitempty"`      // remaining time for which it is kept out of the view
	PreviousGeneration uint64           `json:"replaced_start,omitempty"` // of the process that this one replaced; 0 if none
}

// Status returns the complete state of this process.
func (c *Core) Status() Status {
	view := c.view
	view.Members = slices.Clone(view.Members)
	out := Status{
		Name:            c.options.Name,
		Generation:      c.options.Generation,
		Incarnation:     c.incarnation,
		State:           c.state,
		Connectivity:    c.connectivity,
		LocalHealth:     c.localHealth,
		View:            view,
		Members:         []Member{},
		RejectedMembers: c.rejected,
	}
	for _, p := range c.peers.sorted() {
		out.Members = append(out.Members, c.memberStatus(p))
	}
	return out
}

func (c *Core) memberStatus(p *peer) Member {
	m := Member{
		Name:               p.name,
		Address:            p.address,
		Generation:         p.generation,
		Incarnation:        p.incarnation,
		State:              p.state,
		StateAge:           c.millisSince(p.stateSince),
		SinceReceived:      c.millisSince(p.lastReceived),
		SinceAcked:         c.millisSince(p.lastAcked),
		SinceSeen:          c.millisSince(p.lastSeen),
		Link:               p.linkState(),
		OwnConnectivity:    p.connectivity,
		SuspectedBy:        map[string]int64{},
		HeardBy:            map[string]int64{},
		LossCount:          p.losses,
		PreviousGeneration: p.previousGeneration,
	}
	if c.now < p.dampedUntil {
		m.DampedFor = (p.dampedUntil - c.now).Milliseconds()
	}
	for name, at := range p.suspectedBy {
		m.SuspectedBy[name] = c.millisSince(at)
	}
	for name, at := range p.heardBy {
		m.HeardBy[name] = c.millisSince(at)
	}
	return m
}

// millisSince returns the milliseconds since a time, or -1 for never.
func (c *Core) millisSince(at time.Duration) int64 {
	if at <= never/2 {
		return -1
	}
	return (c.now - at).Milliseconds()
}

func (p *peer) linkState() LinkState {
	switch {
	case p.linkBroken() && p.lastReceived > p.linkBrokenAt:
		return LinkOneWay
	case p.linkBroken():
		return LinkBroken
	case p.lastAcked > never/2:
		return LinkWorking
	}
	return LinkUnknown
}
