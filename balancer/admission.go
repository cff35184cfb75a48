package balancer

// Admission is the fleet's cut: which part of each class's requests is let in while there is more work than the servers can do.
// Classes that are not named are let in whole; an empty one ends the cut. NoRetries is the part of the budget for further
// attempts that is held back, from 0 to 1, while most attempts of the whole fleet fail.
type Admission struct {
	Shares    map[string]float64
	NoRetries float64
}

func (Admission) event() {}

// fleetNews is what a node is told of the fleet as one: Share and Admission.
type fleetNews interface{ apply(l *Logic) }

func (e Share) apply(l *Logic)     { l.fleetShare = &e }
func (e Admission) apply(l *Logic) { l.admission, l.noRetries = e.Shares, e.NoRetries }

// cut tells whether the fleet has no room for a request. The mark decides, which is the same at whichever node it arrives.
func (l *Logic) cut(c *classState, mark uint64) bool {
	share, is := l.admission[c.Name]
	return is && float64(mark>>11)/(1<<53) >= share
}
