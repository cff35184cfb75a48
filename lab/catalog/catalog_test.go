package catalog

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// decoded is an answer as a client reads it.
type decoded struct {
	Revision float64 `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []struct {
		ID    string `json:"id"`
		Phase string `json:"phase"`
	} `json:"members"`
}

// follow applies an answer to the phases that a client knows.
func follow(t *testing.T, phases map[string]string, a Answer) {
	t.Helper()
	var list decoded
	if err := json.Unmarshal(a.Body, &list); err != nil {
		t.Fatalf("answer %s: %v", a.Body, err)
	}
	if list.Complete {
		clear(phases)
	}
	for _, m := range list.Members {
		phases[m.ID] = m.Phase
	}
	for id, phase := range phases {
		if phase != PhaseServing {
			delete(phases, id)
		}
	}
}

// A client that follows the answers must know the servers in service, whatever form each answer has; else the tests that use the
// catalog would blame the client for a wrong answer.
func TestAnswersAddUpToTheList(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := New(1<<20, nil, seed)
		phases := map[string]string{}
		follow(t, phases, c.Poll())
		revision := c.Revision()
		for range 40 {
			var changed []Member
			for range rng.IntN(4) {
				id := string(rune('a' + rng.IntN(6)))
				phase := []string{PhaseServing, PhaseDraining, PhaseDeleted}[rng.IntN(3)]
				changed = append(changed, Member{ID: id, HostPort: id + ":1", Phase: phase, Size: 1})
			}
			c.Apply(changed...)
			if rng.IntN(10) == 0 {
				c.Restart()
			}
			follow(t, phases, c.Watch(revision))
			revision = c.Revision()
			want := map[string]bool{}
			for _, m := range c.Members() {
				if m.Phase == PhaseServing {
					want[m.ID] = true
				}
			}
			if len(want) != len(phases) {
				t.Fatalf("seed %d: in service %v, want %v", seed, phases, want)
			}
			for id := range want {
				if phases[id] == "" {
					t.Fatalf("seed %d: in service %v, want %v", seed, phases, want)
				}
			}
		}
	}
}

// The forms in which a list without members was once misread must all be drawn, and a watch must be answered by whole lists too.
func TestEveryFormIsDrawn(t *testing.T) {
	forms := map[string]int{}
	for seed := range uint64(100) {
		c := New(41, []Member{{ID: "a", HostPort: "a:1", Phase: PhaseDraining}}, seed)
		for _, a := range []Answer{c.Poll(), c.Watch(40), c.Watch(41)} {
			body := string(a.Body)
			counted := map[string]bool{"complete": a.Complete, "changes": !a.Complete, "null": strings.Contains(body, `"members":null`),
				"empty array": strings.Contains(body, `"members":[]`), "left out": !strings.Contains(body, "members"),
				"indented": strings.Contains(body, "\n"), "fraction": strings.Contains(body, `41.0`), "pieces": a.Pieces > 1,
				"draining left out": a.Complete && !strings.Contains(body, PhaseDraining), "draining listed": a.Complete && strings.Contains(body, PhaseDraining)}
			for form, drawn := range counted {
				if drawn {
					forms[form]++
				}
			}
			told := slices.ContainsFunc(a.Notified, func(m Member) bool { return m.ID == "a" && m.Phase != PhaseServing })
			if a.Complete && !told {
				t.Errorf("whole list %s does not count as news of the draining server", body)
			}
		}
	}
	for _, form := range []string{"complete", "changes", "null", "empty array", "left out", "indented", "fraction", "pieces", "draining left out", "draining listed"} {
		if forms[form] < 5 {
			t.Errorf("form %q drawn %d times in 300 answers, want at least 5", form, forms[form])
		}
	}
}
