package counters

import "encoding/json"

// summary is the summary of the counters for administrators.
type summary struct {
	Operations Operations `json:"operations"`
	Relayed    int64      `json:"relayed"` // attempts written to servers, sum of all classes
	Open       *Count     `json:"open_requests"`
	Entries    *Count     `json:"registry_entries"`
	Avoided    *Count     `json:"out_of_rotation"`
}

// AdminSummary returns the summary for administrators as one JSON object: the outcomes and attempts of each class since the start,
// the requests in flight, the servers in the endpoint list, and the avoided servers among them.
func (c *Counters) AdminSummary() []byte {
	relayed := int64(0)
	for _, class := range c.Operations {
		relayed += class.Relayed.Get()
	}
	out, err := json.Marshal(summary{
		Operations: c.Operations,
		Relayed:    relayed,
		Open:       &c.Requests.Open,
		Entries:    &c.Endpoints.Entries,
		Avoided:    &c.Endpoints.Avoided,
	})
	if err != nil { // not expected, since the summary holds only numbers
		return []byte(`{"error":"figures cannot be written"}`)
	}
	return out
}
