// Package balancer decides, for one node, which server gets each request and what becomes of it.
//
// The package is pure: New makes a Balancer, and Step takes one event at a given time and returns
// the actions to carry out. It reads no clock, does no I/O, starts no goroutine and draws random
// numbers from its seed alone, so the same events give the same actions. Whoever carries the
// actions out (internal/engine in a node, internal/simadapter under the simulator) owns all I/O.
//
// Each mechanism has a file with its state, its constants and its rules:
//
//	balancer.go        New and Step: what can happen, and who handles it
//	settings.go        what a node is configured with, at its start
//	events.go          what the balancer is notified of
//	actions.go         what it asks for, and the reasons for rejecting or failing a request
//
//	endpointlist.go    following the endpoint list: polling, backoff, staleness, new and removed servers
//	server.go          what is known of one server
//	outcomewindow.go   the outcomes of the last ten seconds
//	healthscore.go     scores from latency, errors and recent outcomes
//	unittime.go        the time that a server takes for a request, and the pace of the whole fleet
//	failurerate.go     failures of one class at a server, and of a zone
//	outlier.go         ejection of servers that fail, and their readmission
//	serverhealth.go    why a server is or is not ejected, for operators
//	slowstart.go       the budget of a server that has just started
//	loadestimate.go    how many requests a server holds, by its reports and by gossip
//	missingattempts.go attempts that a server has lost, and their cancelling
//	loadprobe.go       probes of servers' load, and their budget
//	estimate.go        estimates of one server and of the fleet
//
//	admission.go       arrival of a request; what is rejected at once
//	request.go         one request and its attempts
//	objective.go       latency objective, priority weight and work of a request
//	fairness.go        served shares of classes and tenants; the order of the queue
//	tenantquota.go     quotas of tenants
//	fleetquota.go      this node's part of the fleet's budgets, and the fleet's limits
//	queue.go           requests that wait for a server; when one is rejected for lack of capacity
//	picker.go          who may be chosen, and who is
//	attempts.go        start and end of an attempt
//	retry.go           when a retry is allowed, and the final answer where it is not
//
//	gossip.go          what nodes send each other, and how it is used
//	gossipmessage.go   the form of these messages
//	statetransfer.go   the state that is handed over in an upgrade
//	staterestore.go    taking such a state over
//	clone.go           a copy that decides by other settings
//	tokenbucket.go     allowances that refill with time or by events
//
// A final answer that is not a server's is always given by rejectOrFail (retry.go) or, for an
// unknown class, by handleArrival (admission.go). internal/engine/actions.go and
// internal/proxy/respond.go give it its HTTP status: a Reject is a 503, a Fail a 502, or a 504
// after the deadline.
package balancer
