package balancer

// This file holds the constants that the decisions are tuned by, with what each stands for.

const (
	weightLatency, weightErrors, weightRecent = 0.4, 0.3, 0.1 // the design's

	cycle        = 100.0  // oldest score used: a few answers of all servers, and little CPU
	bucketCount  = 10     // the error window is ten buckets of a second: the design's 10 s
	bucketLen    = 1000.0 // a second
	recentCount  = 10     // outcomes that make the recent success rate, as the design has it
	tripFailures = 3      // consecutive failures that exclude a server: the document's latency-sensitive profile
	tripChance   = 1e-6   // ... where its failure share before makes such a row rarer: seconds of a busy node
	tripRate     = 0.5    // error rate that excludes one ...
	tripMinimum  = 20     // ... over at least so many outcomes
	cooldown     = 10000  // the document's latency-sensitive profile
	healthyRate  = 0.5    // beside a failing server one is well that fails at most half as often
	healthyShare = 0.3    // of those left: fewer, and the cause is shared

	latencyGain = 0.2          // smoothing of latency and unit time: about the last five outcomes
	paceGain    = 0.08         // a dozen answers, from whichever servers
	paceMost    = 3.0          // one heavy request must not slow the whole fleet down
	paceRest    = 0.01         // in the long run the servers' own records hold it
	classWorse  = 0.35         // one failure of a class at a server is a warning; two are believed
	classGood   = 0.1          // and many successes are needed to forget them
	classFaulty = 0.3          // reached by one failure, kept by two
	classMemory = 3 * cooldown // a trial of a class that must not run twice may cost a request
	zoneSilent  = 0.5          // two sends with nothing back; one may have met a server that died
	silentShare = 0.9          // of the time for a connection: one refused says that the zone is there
	staleAfter  = 2000.0       // some service times without news make evidence stale
	staleDecay  = 4000.0       // a shunned server's unit time returns to the fleet's over some seconds

	redrawFactor = 1.25  // a draw is repeated when its expected time exceeds the best by so much
	fitShare     = 0.4   // expected share of the time left that a first send may use; the rest is variance
	heldShare    = 0.7   // once held a request may use more of what is left: else each newcomer would pass it
	herdFloor    = 0.6   // none is believed much faster than typical for its size: all nodes would run there
	idle         = 0.5   // a server with fewer requests in hand than this is taken to be idle
	idleShare    = 0.7   // and a server with nothing in hand: its time varies less, and sparing it gains nothing
	probeWidth   = 6     // servers asked for their load before a send: one in a busy fleet is likely idle
	probeWait    = 4.0   // several round trips in one site, and still little of any aim
	probeSpend   = 0.012 // of all worth: what probes may cost, since more of them earn less and less
	warmthGain   = 0.05  // some ten answers of cold servers tell how fast these are
	widthGain    = 0.05  // some twenty reports of queues make the width
	probeEase    = 0.05  // servers that turn probes away are asked less often by so much, and slowly more again
	crowdGain    = 0.05  // some twenty reports make the fleet's mean load
	crowdMemory  = 4.0   // unit times: in some of them a server's load turns over
	askAgain     = 0.25  // of a unit time: by then a few of the busy servers have finished a request
	reportFresh  = 8.0   // a report younger than this needs no probe

	saturated = 3.0  // times what it works on at once: a server that holds more gets slower for all
	warmGain  = 0.5  // share of the work taken to be saved where a key was met lately
	lostAfter = 3.0  // times the expected: out for longer and not in the report is not on its way
	spareRisk = 2.0  // times the idle share of the fleet: half idle, and a request may take all its time
	lagGain   = 0.05 // some twenty answers make the reports' usual lag

	tellEvery     = 10.0   // messages are under way as long
	tellSpend     = 0.006  // of all worth: what messages may cost, each reader counted
	tellBurst     = 50.0   // arrivals: a message to a hundred nodes is paid for by some ten
	readCost      = 1.0    // microseconds that a message costs each reader
	refusedMost   = 4096   // refusals remembered: seconds of a busy node
	badPrior      = 5.0    // successes taken for granted: one failure is chance
	outcomesEvery = 2000.0 // a window of ten seconds changes slowly
	toldOld       = 3000.0 // a node that is not heard for so long is gone or cut off

	sweepEvery       = 10.0    // how often held requests are looked at, while there are any
	missLimit        = 4       // after so many without a place the servers are full: looking on only costs CPU
	explorationShare = 0.1     // of capacity, for requests that only find out whether a slowdown is over
	retryAge         = 0.7     // of the aim: what the tries before a retry are taken to have used at most
	retryShare       = 0.1     // further attempts per first try: client retries multiply them already
	retryAfterShare  = 0.25    // of the time left: leaves a second try the other half
	retryBurst       = 5.0     // lets a lost server's requests move at once
	coldMargin       = 0.6     // of the cold budget; our capacity estimate may be off by half
	coldBurst        = 0.5     // of a window: how long a node keeps what it saves of its part
	askFirstWait     = 200.0   // a first failure may be chance
	askSpread        = 10.0    // for each other node: a hundred first calls a second in all
	askEach          = 25.0    // for each other node: turned away together, forty calls a second in all
	askLongest       = 2000.0  // with jitter AskPauseMost, which is all that news may wait for
	goalMemory       = 30000.0 // time constant of the served shares per class and tenant
	rateMemory       = 3000.0  // time constant of the tenants' rates
)
