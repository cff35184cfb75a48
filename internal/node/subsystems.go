package node

import (
	"tackhub.example/tackhub/internal/cluster"
	"tackhub.example/tackhub/internal/coap/front"
	"tackhub.example/tackhub/internal/endpoints"
	"tackhub.example/tackhub/internal/resourceusage"
	"tackhub.example/tackhub/internal/savedlist"
	"tackhub.example/tackhub/internal/subsystem"
)

// Subsystems returns the subsystems that the operator file can enable, in the order in which they
// start. A new subsystem is added here.
func Subsystems() []subsystem.Definition {
	return []subsystem.Definition{
		savedlist.Subsystem(), // before those that process the first list
		endpoints.Subsystem(),
		front.Subsystem(),
		cluster.Subsystem(),
		resourceusage.Subsystem(),
	}
}
