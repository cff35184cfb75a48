package audit

import (
	"slices"
	"testing"
	"time"
)

const sec = time.Second

// record is 20 s of three nodes that hold all that they should: node 2 is killed from 5 to 12 s, out of the views from 8 s on.
func record() MembershipRecord {
	m := MembershipRecord{Nodes: 3, From: sec, Until: 20 * sec, Downtimes: []Downtime{{Node: 2, From: 5 * sec, To: 12 * sec}}}
	m.Quotas = []QuotaGrant{{Node: 0, Start: 1, At: 0, Value: 0.5, Until: Forever, After: 0.5},
		{Node: 0, Start: 1, At: 4 * sec, Value: 0.6, Until: 9 * sec, After: 0.1},
		{Node: 1, Start: 1, At: 0, Value: 0.4, Until: Forever, After: 0.4}, {Node: 1, Start: 1, At: 9 * sec, Value: 0.9, Until: Forever, After: 0.9}}
	for at := Offset(0); at < 20*sec; at += 100 * time.Millisecond {
		for i := range 3 {
			if i == 2 && at >= 5*sec && at < 12*sec {
				continue
			}
			s := MemberSample{At: at, Node: i, Start: 1, View: 1, Members: []int{0, 1, 2}, HasMajority: true}
			if at >= 8*sec && at < 13*sec && i != 2 {
				s.Members, s.View = []int{0, 1}, 2
			}
			if at >= 13*sec {
				s.View = 3
			}
			m.Samples = append(m.Samples, s)
		}
	}
	return m
}

func rules(b []Breach) []string {
	var out []string
	for _, x := range b {
		out = append(out, x.Rule)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// A record without a breach passes, and each breach put into it is found under its own rule.
func TestEachMembershipBreachIsSeen(t *testing.T) {
	limits := MemberLimits{DetectWithin: 5 * sec, ConvergeWithin: 5 * sec}
	out, f := record().Judge(limits)
	if len(out) > 0 || f.Detection < 2.5 || f.Detection > 3.1 || f.Convergence < 0.5 || f.Convergence > 1.1 || f.ViewChanges != 2 {
		t.Errorf("breaches %v, figures %+v", out, f)
	}
	for rule, spoil := range map[string]func(m *MembershipRecord){
		"members-taken-out": func(m *MembershipRecord) { // node 1 leaves node 0's view for a moment
			for k := range m.Samples {
				if s := &m.Samples[k]; s.Node == 0 && s.At == 3*sec {
					s.Members = []int{0, 2}
				}
			}
		},
		"members-noticed": func(m *MembershipRecord) {
			for k := range m.Samples {
				if s := &m.Samples[k]; s.Node == 0 && s.At < 12*sec {
					s.Members, s.View = []int{0, 1, 2}, 1
				}
			}
		},
		"members-view": func(m *MembershipRecord) {
			for k := range m.Samples {
				if s := &m.Samples[k]; s.Node == 1 && s.At > 15*sec {
					s.View = 2
				}
			}
		},
		"members-healed": func(m *MembershipRecord) {
			for k := range m.Samples {
				if s := &m.Samples[k]; s.Node == 2 && s.At > 18*sec {
					s.Members, s.HasMajority = []int{2}, false
				}
			}
		},
		"shares": func(m *MembershipRecord) {
			m.Quotas[1].Until = 10 * sec // node 1 has the rest from 9 s on
		},
	} {
		m := record()
		spoil(&m)
		if out, _ := m.Judge(limits); !slices.Equal(rules(out), []string{rule}) {
			t.Errorf("%s: found %v", rule, out)
		}
	}
}

// Cuts and suspensions change what a view must show: a one-way cut expects nothing of the node that cannot hear, an
// isolation does, and a short suspension must leave no trace.
func TestMembershipDuringCuts(t *testing.T) {
	limits := MemberLimits{DetectWithin: 5 * sec, ConvergeWithin: 5 * sec}
	m := record()
	m.Downtimes = nil
	for k := range m.Samples {
		m.Samples[k].Members, m.Samples[k].View = []int{0, 1, 2}, 1
	}
	m.Links = []LinkEvent{{At: 4 * sec, From: 2, To: 0, Cut: true}, {At: 15 * sec, From: 2, To: 0}}
	if out, _ := m.Judge(limits); len(out) > 0 {
		t.Errorf("one link: %v", out)
	}
	m.Links = append(m.Links, LinkEvent{At: 4 * sec, From: 2, To: 1, Cut: true}, LinkEvent{At: 15 * sec, From: 2, To: 1})
	if out, _ := m.Judge(limits); !slices.Equal(rules(out), []string{"members-noticed"}) {
		t.Errorf("no way left: %v", out)
	}
	m.Links, m.Downtimes = nil, []Downtime{{Node: 2, From: 4 * sec, To: 6 * sec, Suspended: true}}
	for k := range m.Samples {
		if s := &m.Samples[k]; s.Node == 0 && s.At == 5*sec {
			s.Members = []int{0, 1}
		}
	}
	if out, _ := m.Judge(limits); !slices.Equal(rules(out), []string{"members-taken-out"}) {
		t.Errorf("taken out for two seconds' standstill: %v", out)
	}
}
