package audit

import (
	"slices"
	"testing"
	"time"
)

const sec = time.Second

// sampleMembershipRecord returns a record of 20 s of three nodes without a breach: node 2 is killed from 5 to 12 s, and
// missing from the views from 8 to 13 s.
func sampleMembershipRecord() MembershipRecord {
	m := MembershipRecord{Nodes: 3, From: sec, Until: 20 * sec, Downtimes: []Downtime{{Node: 2, From: 5 * sec, To: 12 * sec}}}
	m.Quotas = []QuotaGrant{{Node: 0, Generation: 1, At: 0, Value: 0.5, Until: Forever, After: 0.5},
		{Node: 0, Generation: 1, At: 4 * sec, Value: 0.6, Until: 9 * sec, After: 0.1},
		{Node: 1, Generation: 1, At: 0, Value: 0.4, Until: Forever, After: 0.4}, {Node: 1, Generation: 1, At: 9 * sec, Value: 0.9, Until: Forever, After: 0.9}}
	for at := Offset(0); at < 20*sec; at += 100 * time.Millisecond {
		for i := range 3 {
			if i == 2 && at >= 5*sec && at < 12*sec {
				continue
			}
			sample := MemberSample{At: at, Node: i, Generation: 1, View: 1, Members: []int{0, 1, 2}, HasMajority: true}
			if at >= 8*sec && at < 13*sec && i != 2 {
				sample.Members, sample.View = []int{0, 1}, 2
			}
			if at >= 13*sec {
				sample.View = 3
			}
			m.Samples = append(m.Samples, sample)
		}
	}
	return m
}

// brokenRules returns the sorted names of the rules that the breaches belong to.
func brokenRules(breaches []Breach) []string {
	var names []string
	for _, breach := range breaches {
		names = append(names, breach.Rule)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Judge must report nothing for a record without a breach, and each added breach under its own rule and no other.
func TestJudgeMembershipReportsEachBreach(t *testing.T) {
	limits := MemberLimits{DetectWithin: 5 * sec, ConvergeWithin: 5 * sec}
	out, f := sampleMembershipRecord().Judge(limits)
	if len(out) > 0 || f.Detection < 2.5 || f.Detection > 3.1 || f.Convergence < 0.5 || f.Convergence > 1.1 || f.ViewChanges != 2 {
		t.Errorf("breaches = %v, figures = %+v, want no breach, detection about 3 s, convergence about 1 s, 2 view changes", out, f)
	}
	for rule, addBreach := range map[string]func(m *MembershipRecord){
		"members-taken-out": func(m *MembershipRecord) { // node 1 is missing from one view of node 0
			for k := range m.Samples {
				if sample := &m.Samples[k]; sample.Node == 0 && sample.At == 3*sec {
					sample.Members = []int{0, 2}
				}
			}
		},
		"members-noticed": func(m *MembershipRecord) {
			for k := range m.Samples {
				if sample := &m.Samples[k]; sample.Node == 0 && sample.At < 12*sec {
					sample.Members, sample.View = []int{0, 1, 2}, 1
				}
			}
		},
		"members-view": func(m *MembershipRecord) {
			for k := range m.Samples {
				if sample := &m.Samples[k]; sample.Node == 1 && sample.At > 15*sec {
					sample.View = 2
				}
			}
		},
		"members-healed": func(m *MembershipRecord) {
			for k := range m.Samples {
				if sample := &m.Samples[k]; sample.Node == 2 && sample.At > 18*sec {
					sample.Members, sample.HasMajority = []int{2}, false
				}
			}
		},
		"shares": func(m *MembershipRecord) {
			m.Quotas[1].Until = 10 * sec // node 1 is granted 0.9 from 9 s on
		},
	} {
		m := sampleMembershipRecord()
		addBreach(&m)
		if out, _ := m.Judge(limits); !slices.Equal(brokenRules(out), []string{rule}) {
			t.Errorf("want only a breach of rule %s, breaches = %v", rule, out)
		}
	}
}

// A one-way cut of a single link must not be reported, because messages still reach the node through others. A node
// whose messages reach no other node must be removed from the views, and a short suspension must not remove a node.
func TestJudgeMembershipDuringCutsAndSuspensions(t *testing.T) {
	limits := MemberLimits{DetectWithin: 5 * sec, ConvergeWithin: 5 * sec}
	m := sampleMembershipRecord()
	m.Downtimes = nil
	for k := range m.Samples {
		m.Samples[k].Members, m.Samples[k].View = []int{0, 1, 2}, 1
	}
	m.Links = []LinkEvent{{At: 4 * sec, From: 2, To: 0, Cut: true}, {At: 15 * sec, From: 2, To: 0}}
	if out, _ := m.Judge(limits); len(out) > 0 {
		t.Errorf("one cut link: breaches = %v, want none", out)
	}
	m.Links = append(m.Links, LinkEvent{At: 4 * sec, From: 2, To: 1, Cut: true}, LinkEvent{At: 15 * sec, From: 2, To: 1})
	if out, _ := m.Judge(limits); !slices.Equal(brokenRules(out), []string{"members-noticed"}) {
		t.Errorf("all outgoing links cut: breaches = %v, want only members-noticed", out)
	}
	m.Links, m.Downtimes = nil, []Downtime{{Node: 2, From: 4 * sec, To: 6 * sec, Suspended: true}}
	for k := range m.Samples {
		if s := &m.Samples[k]; s.Node == 0 && s.At == 5*sec {
			s.Members = []int{0, 1}
		}
	}
	if out, _ := m.Judge(limits); !slices.Equal(brokenRules(out), []string{"members-taken-out"}) {
		t.Errorf("removed during a suspension of 2 s: breaches = %v, want only members-taken-out", out)
	}
}
