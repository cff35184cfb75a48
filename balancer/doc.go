// Package balancer is the decision core of one node: it selects the server for each request and decides
// on retries, rejections and failures.
//
// The package is pure: New returns a Balancer, and Step handles one event at a given time and returns the
// actions to carry out. It reads no clock, does no I/O, starts no goroutine and derives all random
// numbers from its seed, so the same events always give the same actions. The caller carries out the
// actions and does all I/O: internal/engine in a node, internal/simadapter under the simulator.
//
// Each mechanism has a file with its state, its constants and its rules:
//
//	balancer.go        New, and Step, which passes each event to its handler
//	settings.go        configuration of a node at its start
//	events.go          input of the balancer
//	actions.go         output of the balancer, and the reasons for rejecting or failing a request
//
//	endpointlist.go    endpoint list: polling, backoff, staleness, new and removed servers
//	dedupgroup.go      which servers remember the key of a request, and so may get its repeats
//	server.go          state of one server
//	outcomewindow.go   outcomes at a server in the last ten seconds
//	healthscore.go     scores from latency, errors and recent outcomes
//	unittime.go        time that a server takes for a request, and slowdowns of the whole fleet
//	failurerate.go     failure rate of a class at a server, and of a zone
//	outlier.go         ejection of failing servers, and their readmission
//	serverhealth.go    report for operators on why a server is or is not ejected
//	slowstart.go       slow start: the budget of a server that has just started
//	loadestimate.go    estimate of the requests at a server, from its reports and from gossip
//	missingattempts.go detection and cancellation of attempts that a server has lost
//	loadprobe.go       load probes and their budget
//	estimate.go        cached estimates of one server and of the fleet
//
//	admission.go       arrival of a request, and rejection before queueing
//	request.go         state of one request and its attempts
//	objective.go       latency objective, priority weight and work of a request
//	fairness.go        served fractions of classes and tenants, and the order of the queue
//	tenantquota.go     tenant quotas
//	fleetquota.go      this node's fraction of the budgets and limits of the fleet
//	queue.go           queued requests, and rejection for lack of capacity
//	picker.go          eligible servers, and the choice among them
//	attempts.go        start and end of an attempt
//	retry.go           retry rules and retry budget, and the final answer if no retry is allowed
//
//	gossip.go          gossip between nodes: what is sent and when
//	gossipmessage.go   format of the gossip messages
//	statetransfer.go   state that a process passes to its successor in an upgrade
//	staterestore.go    validation and use of a transferred state
//	clone.go           copy of a balancer with other settings
//	tokenbucket.go     token buckets that refill with time or by events
//
// Only rejectOrFail (retry.go) and, for an unknown class, handleArrival (admission.go) produce final
// answers that don't come from a server. internal/engine/actions.go and internal/proxy/respond.go map
// them to HTTP statuses: a Reject becomes a 503, a Fail becomes a 502, or a 504 after the deadline.
package balancer
