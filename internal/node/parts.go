package node

import (
	"tackhub.example/tackhub/internal/cluster"
	"tackhub.example/tackhub/internal/coap/front"
	"tackhub.example/tackhub/internal/part"
	"tackhub.example/tackhub/internal/roster"
	"tackhub.example/tackhub/internal/vitals"
)

// Parts are the subsystems that the operator file can turn on, in the order in which they start. A new one adds its
// package and one line here.
func Parts() []part.Part {
	return []part.Part{
		roster.Part(),
		front.Part(),
		cluster.Part(),
		vitals.Part(),
	}
}
