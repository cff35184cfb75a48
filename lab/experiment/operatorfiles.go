package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/loopback"
)

// writeOperatorFiles writes the nodes' operator files if the scenario enables subsystems, and opens the links between the
// nodes. file returns the path of a node's operator file; it is nil if there are no operator files. clean removes the
// files and closes the links.
func (r *run) writeOperatorFiles() (file func(int) string, clean func(), err error) {
	s := r.options.Scenario
	if s.Inventory == nil && s.Clients.Coap == 0 && s.Mesh == nil && !s.Nodes.KeepList {
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
	if err = errors.Join(r.writeInventoryAndCoap(dir), r.writeListSections(dir), r.openMesh(dir)); err != nil {
		clean()
		return nil, nil, err
	}
	return func(node int) string { return backend.OperatorFilePath(dir, node) }, clean, nil
}

// writeInventoryAndCoap creates the inventory files and writes the operator files' sections for them and for CoAP.
func (r *run) writeInventoryAndCoap(dir string) (err error) {
	if r.options.Scenario.Inventory != nil {
		if r.inventoryWriter, err = backend.NewInventoryWriter(r.fleet, dir); err != nil {
			return err
		}
	}
	if r.options.Scenario.Clients.Coap == 0 {
		return nil
	}
	for node := range r.options.Scenario.Nodes.Count {
		addr, err := loopback.FreeAddress() // only the TCP port is checked, but no other listener has this address
		if err != nil {
			return err
		}
		r.coapAddresses = append(r.coapAddresses, addr)
		section := fmt.Sprintf("\n[coap]\nlisten = %q\nper_endpoint = 20000\nremembered = 100000\nmemory = \"96MiB\"\nrate = 0.0\n", addr)
		if err := appendOperatorFile(dir, node, section); err != nil {
			return err
		}
	}
	return nil
}

// writeListSections writes the operator files' sections for endpoint lists that are kept on disk.
func (r *run) writeListSections(dir string) error {
	if !r.options.Scenario.Nodes.KeepList {
		return nil
	}
	for node := range r.options.Scenario.Nodes.Count {
		section := fmt.Sprintf("\n[discovery]\nstate_dir = %q\n", filepath.Join(dir, fmt.Sprintf("list%d", node)))
		if err := appendOperatorFile(dir, node, section); err != nil {
			return err
		}
	}
	return nil
}

// appendOperatorFile appends a section to a node's operator file. It creates the file if it does not exist.
func appendOperatorFile(dir string, node int, section string) error {
	f, err := os.OpenFile(backend.OperatorFilePath(dir, node), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.WriteString(section)
	return errors.Join(err, f.Close())
}
