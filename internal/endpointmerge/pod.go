package endpointmerge

// podNumbers number the pods. A pod keeps its number when it is renamed; one that takes its old name later is another pod.
type podNumbers struct {
	byName map[string]int
	byCell map[int]string // the name that a number has now
	last   int
}

func newPodNumbers() podNumbers {
	return podNumbers{byName: map[string]int{}, byCell: map[int]string{}}
}

// number is the number of a pod, a new one for a name that no pod has.
func (p *podNumbers) number(pod string) int {
	if n, known := p.byName[pod]; known && p.byCell[n] == pod {
		return n
	}
	p.last++
	p.byName[pod] = p.last
	p.byCell[p.last] = pod
	return p.last
}

// rename gives a pod another name.
func (p *podNumbers) rename(cell int, from, to string) {
	if p.byName[from] == cell {
		delete(p.byName, from)
	}
	p.byName[to] = cell
	p.byCell[cell] = to
}
