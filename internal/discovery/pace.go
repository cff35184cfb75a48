package discovery

import (
	"math/rand/v2"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
)

const (
	// toldLatest is when a change counts as told at the latest after discovery had it and could be reached, whatever its calls
	// met before: the operators' terms. The drain grace runs from then on. Every wait below is a part of it: see pace.worst.
	toldLatest = 6 * time.Second

	// lateAfter is when the module hears that news is missing: as soon as it may be, and not on the same tick as an answer.
	lateAfter = toldLatest + 50*time.Millisecond

	// reply is the part of it that is left for the answer to the call that gets through, and for the module to take it in.
	reply = 500 * time.Millisecond

	// watchWait is how long past the hold the answer to a watch may take: discovery has had all of the hold for it.
	watchWait = time.Second

	// answerWait is how long the answer to any other call may take: the agent is on this machine.
	answerWait = 1500 * time.Millisecond

	// answerMany is the same where nodes are many and discovery lets their calls wait: seen, 2 s. Who leaves sooner has
	// waited for nothing, and costs as much.
	answerMany = 2500 * time.Millisecond

	// few is how many nodes there may be before they have to spread their calls.
	few = 8

	// retryFirst and retryLongest bound the jittered pause after a failed call: discovery must not be
	// rushed, nor what it tells come late once it is back.
	retryFirst   = 50 * time.Millisecond
	retryLongest = 800 * time.Millisecond

	// jitter times a pause is the longest that it may become.
	jitter = 1.5

	// callEach for each node is the time over which nodes spread their first calls where they are many, and four times it
	// the longest pause, both within the bounds below: after failures a few calls a second come from all of them together.
	// Seen with 36 nodes: discovery had room for four to five whole lists a second. While more were asked for nearly all
	// waited until they were turned away, and that went on for as long as calls came so fast.
	callEach = 100 * time.Millisecond

	// anewEach for each node is the time over which nodes that must ask for the list spread the call that follows a watch
	// which has fallen silent, and anewMost the longest: their watches fall silent together.
	anewEach = 25 * time.Millisecond
	anewMost = 1500 * time.Millisecond

	// firstShare of the drain grace is the longest time over which first calls are spread: what has changed since the list
	// that the node was given counts as told from its start, as if it had asked, and the answer needs the rest.
	firstShare = 0.5

	// graceShare of the drain grace is the longest pause, half as much again with jitter, after a call that got no answer at
	// all, and quietLeast the shortest such. What a discovery that was silent gets at its return counts as told at once,
	// whether or not anyone asks just then: the pause and an answer have to fit into the grace, whatever it is. Seen with a
	// grace of 0.3 s and pauses of up to 3 s: 1,256 requests to servers that had been told to drain, on one day.
	graceShare = 1.0 / 3
	quietLeast = 20 * time.Millisecond

	// dialMost is how long a connection to discovery may take to come up. No call waits longer for one than discovery's move
	// may wait to be followed.
	dialMost = 1500 * time.Millisecond
)

// pace is how long each wait may be between a change and the node's knowing it. No chain of them passes toldLatest.
type pace struct {
	hold   time.Duration // for which discovery may keep a watch that has nothing to tell
	watch  time.Duration // past the hold until a watch is given up
	answer time.Duration // until any other call is given up
	spread time.Duration // of first calls; 0: at once
	crowd  time.Duration // in which all nodes together may call once more without rushing discovery; 0: nodes are few
	anew   time.Duration // of the calls that follow a watch that has fallen silent, where the list must be asked for
	pause  time.Duration // between calls that are turned away, at the longest and without jitter
	quiet  time.Duration // between calls that get no answer, likewise
	away   time.Duration // between calls that are turned away, with the time that discovery named and with jitter
}

// paceFor works the waits out. They are shared out of toldLatest here and nowhere else; the module's own pause, where it sets
// the pace, is balancer.AskPauseMost.
func paceFor(o Options) pace {
	p := pace{watch: watchWait, answer: answerWait, pause: retryLongest}
	if o.Nodes > few {
		p.answer = answerMany
		p.crowd = time.Duration(o.Nodes) * callEach
		p.spread = min(p.crowd, time.Duration(float64(o.DrainGrace)*firstShare))
	}
	p.away = toldLatest - reply - p.answer
	if o.Nodes > few {
		p.pause = min(4*p.crowd, time.Duration(float64(p.away)/jitter))
	}
	p.quiet = min(p.pause, max(quietLeast, time.Duration(float64(o.DrainGrace)*graceShare)))
	first := time.Duration(jitter * float64(retryFirst))
	if o.Subscribe {
		p.anew = min(time.Duration(max(0, o.Nodes-1))*anewEach, anewMost)
		first = p.anew
	}
	p.hold = toldLatest - reply - p.watch - first
	if o.MaxPollInterval > 0 {
		p.hold = min(p.hold, o.MaxPollInterval/2)
	}
	return p
}

// worst is the longest time from when discovery has a change and can be reached to the node's knowing it: the call that is
// out then is lost, and the next one has to wait for its end and for the pause behind it.
func (p pace) worst(subscribe bool) time.Duration {
	afterWatch := time.Duration(jitter * float64(retryFirst))
	afterCall := max(p.away, time.Duration(jitter*float64(max(p.pause, p.quiet))))
	if subscribe {
		afterWatch, afterCall = p.anew, clock.Span(balancer.MaxPollBackoff)
	}
	return reply + max(p.hold+p.watch+afterWatch, p.answer+afterCall)
}

// rest is how long to stay away after a call that failed: beyond what was told, so that those turned away together do not
// come back so. A time beyond what news may take is not kept: it is spread over what is left of that.
func (p pace) rest(told, pause time.Duration) time.Duration {
	if d := told + pause/2 + rand.N(pause); d <= p.away {
		return d
	}
	return p.away/2 + rand.N(p.away/2)
}
