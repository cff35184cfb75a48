package counters

import "encoding/json"

// Figures writes what staff are shown, from the same counts as JSON: each class's endings and attempts since the start,
// the requests in hand now, the servers in the list and those of them that are avoided.
func (c *Counters) AdminSummary() []byte {
	relayed := int64(0)
	for _, o := range c.Operations {
		relayed += o.Relayed.Get()
	}
	out, err := json.Marshal(struct {
		Operations Operations `json:"operations"`
		Relayed    int64      `json:"relayed"` // over all classes; the operators' bench wants it here
		Open       *Count     `json:"open_requests"`
		Entries    *Count     `json:"registry_entries"`
		Avoided    *Count     `json:"out_of_rotation"`
	}{c.Operations, relayed, &c.Requests.Open, &c.Registry.Entries, &c.Registry.Avoided})
	if err != nil {
		return []byte(`{"error":"figures cannot be written"}`) // only numbers are in it
	}
	return out
}
