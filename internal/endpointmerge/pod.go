package endpointmerge

// podNumbers assigns numbers to pods. A renamed pod keeps its number. If its old name is used again later, that is a new pod with
// a new number.
type podNumbers struct {
	numberByName map[string]int
	nameByNumber map[int]string // current name of each number
	lastNumber   int
}

func newPodNumbers() podNumbers {
	return podNumbers{numberByName: map[string]int{}, nameByNumber: map[int]string{}}
}

// number returns the number of the pod with a name. It assigns the next number if no pod has that name.
func (p *podNumbers) number(pod string) int {
	if n, known := p.numberByName[pod]; known && p.nameByNumber[n] == pod {
		return n
	}
	p.lastNumber++
	p.numberByName[pod] = p.lastNumber
	p.nameByNumber[p.lastNumber] = pod
	return p.lastNumber
}

// rename changes the name of a pod, which keeps its number.
func (p *podNumbers) rename(cell int, from, to string) {
	if p.numberByName[from] == cell {
		delete(p.numberByName, from)
	}
	p.numberByName[to] = cell
	p.nameByNumber[cell] = to
}
