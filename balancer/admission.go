package balancer

// Admission is the fleet's cut: which part of each class's requests is let in while there is more work than the servers can do.
// Classes that are not named are let in whole; an empty one ends the cut. NoRetries is the part of the budget for further
// attempts that is held back, from 0 to 1, while most attempts of the whole fleet fail.
type FleetAdmission struct {
	AdmittedFraction map[string]float64
	RetryReduction   float64
}

func (FleetAdmission) event() {}

// fleetNews is what a node is told of the fleet as one: Share and Admission.
type fleetNews interface{ apply(l *Balancer) }

func (e FleetQuota) apply(l *Balancer) { l.fleetShare = &e }
func (e FleetAdmission) apply(l *Balancer) {
	l.admission, l.noRetries = e.AdmittedFraction, e.RetryReduction
}

// cut tells whether the fleet has no room for a request. The mark decides, which is the same at whichever node it arrives.
func (l *Balancer) cut(c *classState, mark uint64) bool {
	share, is := l.admission[c.Name]
	return is && float64(mark>>11)/(1<<53) >= share
}
