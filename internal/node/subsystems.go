package node

import (
	"tackhub.example/tackhub/internal/cluster"
	"tackhub.example/tackhub/internal/coap/front"
	"tackhub.example/tackhub/internal/endpoints"
	"tackhub.example/tackhub/internal/resourceusage"
	"tackhub.example/tackhub/internal/subsystem"
)

// Subsystems are the subsystems that the operator file can turn on, in the order in which they
// start. A new one adds its package and one line here.
func Subsystems() []subsystem.Definition {
	return []subsystem.Definition{
		endpoints.Subsystem(),
		front.Subsystem(),
		cluster.Subsystem(),
		resourceusage.Subsystem(),
	}
}
