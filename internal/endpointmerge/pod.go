package endpointmerge

// podNumbers number the pods. A pod keeps its number when it is renamed; one that takes its old name later is another pod.
type podNumbers struct {
	numberByName map[string]int
	nameByNumber map[int]string // the name that a number has now
	lastNumber   int
}

func newPodNumbers() podNumbers {
	return podNumbers{numberByName: map[string]int{}, nameByNumber: map[int]string{}}
}

// number is the number of a pod, a new one for a name that no pod has.
func (p *podNumbers) number(pod string) int {
	if n, known := p.numberByName[pod]; known && p.nameByNumber[n] == pod {
		return n
	}
	p.lastNumber++
	p.numberByName[pod] = p.lastNumber
	p.nameByNumber[p.lastNumber] = pod
	return p.lastNumber
}

// rename gives a pod another name.
func (p *podNumbers) rename(cell int, from, to string) {
	if p.numberByName[from] == cell {
		delete(p.numberByName, from)
	}
	p.numberByName[to] = cell
	p.nameByNumber[cell] = to
}
