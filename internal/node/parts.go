package node

import (
	"tackhub.example/tackhub/internal/cluster"
	"tackhub.example/tackhub/internal/coap/front"
	"tackhub.example/tackhub/internal/endpoints"
	"tackhub.example/tackhub/internal/resourceusage"
	"tackhub.example/tackhub/internal/subsystem"
)

// Parts are the subsystems that the operator file can turn on, in the order in which they start. A new one adds its
// package and one line here.
func Parts() []subsystem.Definition {
	return []subsystem.Definition{
		endpoints.Subsystem(),
		front.Subsystem(),
		cluster.Subsystem(),
		resourceusage.Subsystem(),
	}
}
