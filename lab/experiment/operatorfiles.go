package experiment

import (
	"errors"
	"fmt"
	"os"

	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/loopback"
)

// writeOperatorFiles writes the nodes' operator files where the scenario turns subsystems on, and opens the links
// between the nodes. file is nil where there are none; clean removes all of it.
func (r *run) writeOperatorFiles() (file func(int) string, clean func(), err error) {
	s := r.options.Scenario
	if s.Inventory == nil && s.Clients.Coap == 0 && s.Mesh == nil {
		return nil, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "tacklab-edge")
	if err != nil {
		return nil, nil, err
	}
	clean = func() {
		_ = os.RemoveAll(dir)
		if r.mesh != nil {
			r.mesh.links.Close()
		}
	}
	if err = errors.Join(r.writeInventoryAndCoap(dir), r.openMesh(dir)); err != nil {
		clean()
		return nil, nil, err
	}
	return func(node int) string { return backend.OperatorFilePath(dir, node) }, clean, nil
}

// writeInventoryAndCoap writes the sections for inventory files and for CoAP.
func (r *run) writeInventoryAndCoap(dir string) (err error) {
	if r.options.Scenario.Inventory != nil {
		if r.writer, err = backend.NewInventoryWriter(r.fleet, dir); err != nil {
			return err
		}
	}
	if r.options.Scenario.Clients.Coap == 0 {
		return nil
	}
	for node := range r.options.Scenario.Nodes.Count {
		addr, err := loopback.FreeAddress() // a TCP port that is free on a host of its own: UDP's is too
		if err != nil {
			return err
		}
		r.coap = append(r.coap, addr)
		section := fmt.Sprintf("\n[coap]\nlisten = %q\nper_endpoint = 20000\nremembered = 100000\nmemory = \"96MiB\"\nrate = 0.0\n", addr)
		if err := appendOperatorFile(dir, node, section); err != nil {
			return err
		}
	}
	return nil
}

// appendOperatorFile adds a section to a node's operator file, which is created where it is missing.
func appendOperatorFile(dir string, node int, section string) error {
	f, err := os.OpenFile(backend.OperatorFilePath(dir, node), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.WriteString(section)
	return errors.Join(err, f.Close())
}
