package discovery

import (
	"reflect"
	"testing"
)

// phasesOf maps each member's id to its phase.
func phasesOf(members []Member) map[string]string {
	phases := map[string]string{}
	for _, m := range members {
		phases[m.ID] = m.Phase
	}
	return phases
}

// A member that cannot be used once voided the whole list, so that the drains and removals in it were not followed. It must be
// withdrawn itself, and every other member must be read.
func TestUnusableMemberIsWithdrawnAndOthersAreRead(t *testing.T) {
	const usable = `{"id":"a","host_port":"1.1.1.1:1","phase":"SERVING"},{"id":"b","host_port":"1.1.1.1:2","phase":"DRAINING"}`
	for name, tc := range map[string]struct {
		entry string
		want  string // phase of x; empty: x is not in the list
	}{
		"no port":                 {`{"id":"x","host_port":"1.1.1.1","phase":"SERVING"}`, PhaseDraining},
		"no address":              {`{"id":"x","phase":"SERVING"}`, PhaseDraining},
		"address not text":        {`{"id":"x","host_port":7,"phase":"SERVING"}`, PhaseDraining},
		"size not a number":       {`{"id":"x","host_port":"1.1.1.1:3","phase":"SERVING","size":"1"}`, PhaseDraining},
		"cell with a fraction":    {`{"id":"x","host_port":"1.1.1.1:3","phase":"SERVING","cell":1.5}`, PhaseDraining},
		"cell not a number":       {`{"id":"x","host_port":"1.1.1.1:3","phase":"SERVING","cell":{}}`, PhaseDraining},
		"phase not text":          {`{"id":"x","host_port":"1.1.1.1:3","phase":1}`, PhaseDraining},
		"deleted, size no number": {`{"id":"x","phase":"DELETED","size":"1"}`, PhaseDeleted},
		"two addresses":           {`{"id":"x","host_port":"1.1.1.1:3","phase":"SERVING"},{"id":"x","host_port":"1.1.1.1:4","phase":"SERVING"}`, PhaseDraining},
		"serving and draining":    {`{"id":"x","host_port":"1.1.1.1:3","phase":"SERVING"},{"id":"x","host_port":"1.1.1.1:3","phase":"DRAINING"}`, PhaseDraining},
		"deleted and serving":     {`{"id":"x","phase":"DELETED"},{"id":"x","host_port":"1.1.1.1:3","phase":"SERVING"}`, PhaseDeleted},
		"unusable, then serving":  {`{"id":"x","phase":"SERVING"},{"id":"x","host_port":"1.1.1.1:3","phase":"SERVING"}`, PhaseDraining},
		"no id":                   {`{"host_port":"1.1.1.1:3","phase":"SERVING"}`, ""},
		"id not text":             {`{"id":7,"host_port":"1.1.1.1:3","phase":"SERVING"}`, ""},
		"null":                    {`null`, ""},
		"not an object":           {`"x"`, ""},
	} {
		for _, members := range []string{tc.entry + "," + usable, usable + "," + tc.entry} {
			list, rejected, err := readList([]byte(`{"revision":9,"complete":true,"members":[` + members + `]}`))
			want := map[string]string{"a": PhaseServing, "b": PhaseDraining}
			if tc.want != "" {
				want["x"] = tc.want
			}
			if got := phasesOf(list.Members); err != nil || len(rejected) == 0 || !reflect.DeepEqual(got, want) {
				t.Errorf("%s: phases = %v, rejected %v, error %v, want %v and a rejected member", name, got, rejected, err, want)
			}
		}
	}
}

// JSON has several forms of one meaning. If one of them is not read, what the list says of drains and removals is not followed.
func TestListIsReadInEveryFormOfJSON(t *testing.T) {
	want := List{Revision: 9, Complete: true, Members: []Member{{ID: "a", HostPort: "1.1.1.1:1", Phase: PhaseServing, Cell: 3, Size: 1}}}
	const member = `{"id":"a","host_port":"1.1.1.1:1","phase":"SERVING","cell":3.0,"size":1,"locality":null,"up_since_ms":null,"new_field":[1]}`
	for _, raw := range []string{
		`{"revision":9,"complete":true,"members":[` + member + `]}`,
		`{"revision":9.0,"complete":true,"members":[` + member + `,` + member + `]}`,
		` { "members" : [ ` + member + ` ] , "revision" : 90e-1, "complete" : true, "note" : null } `,
	} {
		if got, rejected, err := readList([]byte(raw)); err != nil || len(rejected) > 0 || !reflect.DeepEqual(got, want) {
			t.Errorf("readList(%s) = %+v, rejected %v, error %v, want %+v", raw, got, rejected, err, want)
		}
	}
	for _, members := range []string{`,"members":[]`, `,"members":null`, ``} {
		raw := `{"revision":9,"complete":true` + members + `}`
		if got, rejected, err := readList([]byte(raw)); err != nil || len(rejected) > 0 || got.Revision != 9 || !got.Complete || len(got.Members) > 0 {
			t.Errorf("readList(%s) = %+v, rejected %v, error %v, want a complete list without members", raw, got, rejected, err)
		}
	}
}

// What is no list must change nothing: a response that was cut short would otherwise withdraw every server.
func TestResponseThatIsNoListIsRejected(t *testing.T) {
	whole := `{"revision":9,"complete":true,"members":[{"id":"a","host_port":"1.1.1.1:1","phase":"SERVING"}]}`
	responses := []string{"null", "[]", "{}", `"x"`, `{"revision":9}`, `{"complete":true,"members":[]}`, `{"revision":-1,"complete":true,"members":[]}`,
		`{"revision":1.5,"complete":true,"members":[]}`, `{"revision":null,"complete":true,"members":[]}`, `{"revision":1e300,"complete":true,"members":[]}`,
		`{"revision":9,"complete":true,"members":{}}`, `{"revision":9,"complete":"yes","members":[]}`}
	for length := range len(whole) {
		responses = append(responses, whole[:length])
	}
	for _, raw := range responses {
		if list, rejected, err := readList([]byte(raw)); err == nil {
			t.Errorf("readList(%s) = %+v, rejected %v, want an error", raw, list, rejected)
		}
	}
}
