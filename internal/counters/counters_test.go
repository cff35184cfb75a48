package counters

import (
	"encoding/json"
	"testing"
)

func TestCountersJSON(t *testing.T) {
	var c Counters
	c.Requests.Taken.Add(3)
	c.Outcomes.Inc("served")
	c.Outcomes.Inc("served")
	c.Engine.MaxTimerDelay.Max(7)
	c.Engine.MaxTimerDelay.Max(5)
	var got struct {
		Requests map[string]int `json:"requests"`
		Outcomes map[string]int `json:"outcomes"`
		Engine   map[string]int `json:"engine"`
		Ends     map[string]int `json:"client_connection_ends"`
	}
	if err := json.Unmarshal(c.JSON(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Requests["taken"] != 3 || got.Outcomes["served"] != 2 || got.Engine["timer_late_max_us"] != 7 || got.Ends == nil {
		t.Errorf("JSON() = %s, want taken 3, served 2, timer_late_max_us 7 and an object client_connection_ends", c.JSON())
	}
	if c.Outcomes.Get("served") != 2 || c.Outcomes.Get("none") != 0 {
		t.Errorf("Get(served) = %d, Get(none) = %d; want 2, 0", c.Outcomes.Get("served"), c.Outcomes.Get("none"))
	}
}
