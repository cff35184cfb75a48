package counters

import "encoding/json"

// summary is what administrators see.
type summary struct {
	Operations Operations `json:"operations"`
	Relayed    int64      `json:"relayed"` // attempts written to servers, of all classes
	Open       *Count     `json:"open_requests"`
	Entries    *Count     `json:"registry_entries"`
	Avoided    *Count     `json:"out_of_rotation"`
}

// AdminSummary returns as one JSON object what administrators see: each class's endings and attempts since the start, the requests
// in flight, the servers in the list and those of them that are avoided.
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
	if err != nil { // it holds numbers only
		return []byte(`{"error":"figures cannot be written"}`)
	}
	return out
}
