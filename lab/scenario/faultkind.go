package scenario

import "strings"

// FaultKind is a kind of fault, as a scenario names it. docs/lab.md describes what each does.
type FaultKind string

// The faults of servers.
const (
	FaultCrash        FaultKind = "crash"
	FaultVanish       FaultKind = "vanish"
	FaultHang         FaultKind = "hang"
	FaultSlow         FaultKind = "slow"
	FaultErrors       FaultKind = "errors"
	FaultDrain        FaultKind = "drain"
	FaultColdReturn   FaultKind = "cold-return"
	FaultServersStall FaultKind = "servers-stall"
	FaultServersReset FaultKind = "servers-reset"
	FaultReportsOff   FaultKind = "reports-off"
)

// Kinds with these prefixes concern one node each.
const (
	prefixOfNode      = "node-"      // its process
	prefixOfDiscovery = "discovery-" // its discovery
	prefixOfClients   = "clients-"   // its clients' links
)

// The faults of nodes, and of what belongs to one node.
const (
	FaultNodeKill         FaultKind = prefixOfNode + "kill"
	FaultNodeStop         FaultKind = prefixOfNode + "stop"
	FaultNodeRestart      FaultKind = prefixOfNode + "restart"
	FaultNodeReplace      FaultKind = prefixOfNode + "replace"
	FaultNodePause        FaultKind = prefixOfNode + "pause"
	FaultDiskLost         FaultKind = "disk-lost"
	FaultDiscoveryDown    FaultKind = prefixOfDiscovery + "down"
	FaultDiscoveryStale   FaultKind = prefixOfDiscovery + "stale"
	FaultDiscoveryWrong   FaultKind = prefixOfDiscovery + "wrong"
	FaultClientsStall     FaultKind = prefixOfClients + "stall"
	FaultClientsReset     FaultKind = prefixOfClients + "reset"
	FaultClientsHalfClose FaultKind = prefixOfClients + "half-close"
)

// The faults of links between nodes.
const (
	FaultCut       FaultKind = "cut"
	FaultLoss      FaultKind = "loss"
	FaultDelay     FaultKind = "delay"
	FaultDuplicate FaultKind = "duplicate"
	FaultReorder   FaultKind = "reorder"
)

// FaultKinds are the faults that a scenario can name.
var FaultKinds = []FaultKind{
	FaultCrash, FaultVanish, FaultHang, FaultSlow, FaultErrors, FaultDrain, FaultColdReturn, FaultNodeKill, FaultNodeStop,
	FaultNodeRestart, FaultDiscoveryDown, FaultDiscoveryStale, FaultDiscoveryWrong, FaultClientsStall, FaultClientsReset,
	FaultClientsHalfClose, FaultNodeReplace, FaultNodePause, FaultServersStall, FaultServersReset, FaultReportsOff,
	FaultDiskLost, FaultCut, FaultLoss, FaultDelay, FaultDuplicate, FaultReorder,
}

// OfLink reports whether the fault concerns the links between nodes.
func (k FaultKind) OfLink() bool {
	switch k {
	case FaultCut, FaultLoss, FaultDelay, FaultDuplicate, FaultReorder:
		return true
	}
	return false
}

// OfProcess reports whether the fault concerns a node's process or its disk.
func (k FaultKind) OfProcess() bool {
	return k == FaultDiskLost || strings.HasPrefix(string(k), prefixOfNode)
}

// OfClients reports whether the fault concerns the clients' links to a node.
func (k FaultKind) OfClients() bool { return strings.HasPrefix(string(k), prefixOfClients) }

// ofNode reports whether a target names nodes: the fault concerns their processes, or what belongs to one node.
func (k FaultKind) ofNode() bool {
	return k.OfProcess() || k.OfClients() || strings.HasPrefix(string(k), prefixOfDiscovery)
}

// joinKinds lists kinds for a message.
func joinKinds(kinds []FaultKind) string {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = string(k)
	}
	return strings.Join(names, ", ")
}
