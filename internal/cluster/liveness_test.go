package cluster

import (
	"context"
	"io"
	"net"
	"testing"

	"tackhub.example/tackhub/internal/membership"
)

// TestLivenessStreamWithoutQuotas: a node whose cluster section names no members with quotas has no quota agent. A member that has one
// opens a liveness stream to it, as happens while quotas are rolled out node by node. The node has to drop the stream and count it;
// instead it follows the missing agent, and the process ends with a nil pointer.
func TestLivenessStreamWithoutQuotas(t *testing.T) {
	defer func() {
		if p := recover(); p != nil {
			t.Errorf("a member's liveness stream ends the process: %v", p)
		}
	}()
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	go func() { _, _ = io.Copy(io.Discard, there) }()
	var withoutQuotas *quotaAgent
	withoutQuotas.watchProcess(context.Background(), here, &membership.Message{Kind: membership.LivenessStream, From: "n1"})
}
