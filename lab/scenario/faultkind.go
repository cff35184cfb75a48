package scenario

import "strings"

// FaultKind is a kind of fault, as written in a scenario. docs/lab.md describes each kind.
type FaultKind string

// The faults of servers and of their links.
const (
	FaultCrash        FaultKind = "crash"
	FaultVanish       FaultKind = "vanish"
	FaultHang         FaultKind = "hang"
	FaultSlow         FaultKind = "slow"
	FaultErrors       FaultKind = "errors"
	FaultDrain        FaultKind = "drain"
	FaultUnlist       FaultKind = "unlist" // the list withdraws the server, which goes on serving
	FaultColdReturn   FaultKind = "cold-return"
	FaultServersStall FaultKind = "servers-stall"
	FaultServersReset FaultKind = "servers-reset"
	FaultReportsOff   FaultKind = "reports-off"
)

// Prefixes of the fault kinds that affect a single node.
const (
	nodePrefix      = "node-"      // the node's process
	discoveryPrefix = "discovery-" // the discovery service that the node uses
	clientsPrefix   = "clients-"   // the links between the node and its clients
)

// The faults of nodes, of their disks and discovery services, and of their links to clients.
const (
	FaultNodeKill         FaultKind = nodePrefix + "kill"
	FaultNodeStop         FaultKind = nodePrefix + "stop"
	FaultNodeRestart      FaultKind = nodePrefix + "restart"
	FaultNodeReplace      FaultKind = nodePrefix + "replace"
	FaultNodePause        FaultKind = nodePrefix + "pause"
	FaultDiskLost         FaultKind = "disk-lost"
	FaultDiscoveryDown    FaultKind = discoveryPrefix + "down"
	FaultDiscoveryStale   FaultKind = discoveryPrefix + "stale"
	FaultDiscoveryWrong   FaultKind = discoveryPrefix + "wrong"
	FaultClientsStall     FaultKind = clientsPrefix + "stall"
	FaultClientsReset     FaultKind = clientsPrefix + "reset"
	FaultClientsHalfClose FaultKind = clientsPrefix + "half-close"
)

// The faults of links between nodes.
const (
	FaultCut       FaultKind = "cut"
	FaultLoss      FaultKind = "loss"
	FaultDelay     FaultKind = "delay"
	FaultDuplicate FaultKind = "duplicate"
	FaultReorder   FaultKind = "reorder"
)

// FaultKinds are all kinds that a scenario can use.
var FaultKinds = []FaultKind{
	FaultCrash, FaultVanish, FaultHang, FaultSlow, FaultErrors, FaultDrain, FaultUnlist, FaultColdReturn, FaultNodeKill, FaultNodeStop,
	FaultNodeRestart, FaultDiscoveryDown, FaultDiscoveryStale, FaultDiscoveryWrong, FaultClientsStall, FaultClientsReset,
	FaultClientsHalfClose, FaultNodeReplace, FaultNodePause, FaultServersStall, FaultServersReset, FaultReportsOff,
	FaultDiskLost, FaultCut, FaultLoss, FaultDelay, FaultDuplicate, FaultReorder,
}

// AffectsLink reports whether the fault affects links between nodes.
func (k FaultKind) AffectsLink() bool {
	switch k {
	case FaultCut, FaultLoss, FaultDelay, FaultDuplicate, FaultReorder:
		return true
	}
	return false
}

// AffectsProcess reports whether the fault affects a node's process or its disk.
func (k FaultKind) AffectsProcess() bool {
	return k == FaultDiskLost || strings.HasPrefix(string(k), nodePrefix)
}

// AffectsClients reports whether the fault affects the clients' links to a node.
func (k FaultKind) AffectsClients() bool { return strings.HasPrefix(string(k), clientsPrefix) }

// targetsNodes reports whether the fault's target selects nodes: the fault affects a process, a disk, a discovery service
// or client links.
func (k FaultKind) targetsNodes() bool {
	return k.AffectsProcess() || k.AffectsClients() || strings.HasPrefix(string(k), discoveryPrefix)
}

// joinKinds returns the kinds separated by commas, for error messages.
func joinKinds(kinds []FaultKind) string {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = string(k)
	}
	return strings.Join(names, ", ")
}
