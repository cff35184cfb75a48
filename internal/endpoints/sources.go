package endpoints

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/filewatch"
	"tackhub.example/tackhub/internal/inventory"
)

// The names of sources that are no files.
const (
	sourceDiscovery = "discovery"
	sourceStatic    = "static"
)

// maxConfirmBytes bounds a confirmation file, which holds one checksum.
const maxConfirmBytes = 1024

// post queues an event for the goroutine that owns the view. It blocks while the queue is full.
func (i *Inventory) post(e sourceEvent) {
	select {
	case i.events <- e:
	case <-i.done:
	}
}

// handleDiscovery takes discovery's list or its changes, on the goroutine of the discovery client.
func (i *Inventory) handleDiscovery(l discovery.List, kind balancer.UpdateKind) {
	if !i.options.Discovery {
		return
	}
	var servers []inventory.Server
	var removed []string
	for _, m := range l.Members {
		if m.Phase == discovery.PhaseDeleted {
			removed = append(removed, m.ID)
		} else {
			servers = append(servers, fromDiscovery(m))
		}
	}
	revision := strconv.FormatInt(l.Revision, 10)
	switch kind {
	case balancer.FullUpdate:
		i.post(sourceEvent{event: endpointmerge.Snapshot{Source: sourceDiscovery, Revision: revision, Servers: servers}})
	case balancer.DeltaUpdate:
		i.post(sourceEvent{event: endpointmerge.Delta{Source: sourceDiscovery, Revision: revision, Updated: servers, Removed: removed}})
	case balancer.CachedUpdate:
		// The node's list from before its start is older than what any source reports now, so that it counts as restored.
		if len(servers) > 0 {
			i.post(sourceEvent{event: endpointmerge.Snapshot{Source: endpointmerge.SourceRestored, Revision: "known", Servers: servers}})
		}
	}
}

// fromDiscovery converts a member of discovery's list. Any phase but SERVING counts as draining.
func fromDiscovery(m discovery.Member) inventory.Server {
	phase := inventory.Draining
	if m.Phase == discovery.PhaseServing {
		phase = inventory.Serving
	}
	return inventory.Server{
		ID:      m.ID,
		Address: m.HostPort,
		Zone:    m.Locality,
		Pod:     strconv.Itoa(m.Cell),
		Size:    m.Size,
		Phase:   phase,
		Started: m.UpSince,
	}
}

// watchFile reads a file whenever it, its confirmation or its checksum changes, until the context ends.
func (i *Inventory) watchFile(ctx context.Context, f *File) {
	companions := []string{f.confirmPath()}
	if f.Checksum {
		companions = append(companions, f.checksumPath())
	}
	options := filewatch.Options{
		Path:          f.Path,
		Companions:    companions,
		Settle:        i.options.Settle.Std(),
		SelfVerifying: f.Trailer || f.Checksum,
		PollInterval:  i.options.Poll.Std(),
		MaxBytes:      i.maxFileBytes,
	}
	i.goroutines.Go(func() {
		filewatch.Run(ctx, options, func(e filewatch.Event) { i.handleFile(f, e) })
	})
}

// handleFile parses what was read of a file and posts its list, or why there is none.
func (i *Inventory) handleFile(f *File, e filewatch.Event) {
	if e.Err != nil {
		i.post(sourceEvent{file: f, err: e.Err})
		return
	}
	// Posted before the list, which it may let pass.
	if sum := confirmedSHA256(f); sum != "" {
		i.post(sourceEvent{event: endpointmerge.Confirmed{Source: f.source(), Revision: sum}})
	}
	list, err := parseFile(f, e.Data)
	if err != nil {
		i.post(sourceEvent{file: f, err: err})
		return
	}
	snapshot := endpointmerge.Snapshot{Source: f.source(), Revision: list.SHA256, Servers: list.Servers}
	i.post(sourceEvent{file: f, servers: len(list.Servers), event: snapshot})
}

// parseFile verifies a file's checksum, where one is required, and parses it.
func parseFile(f *File, data []byte) (inventory.List, error) {
	if err := verifyChecksum(f, data); err != nil {
		return inventory.List{}, err
	}
	return inventory.Parse(f.Path, data, f.parseOptions())
}

// verifyChecksum compares a file with its checksum file, where one is required.
func verifyChecksum(f *File, data []byte) error {
	if !f.Checksum {
		return nil
	}
	raw, err := os.ReadFile(f.checksumPath())
	if err != nil {
		return fmt.Errorf("%s: %w", f.checksumPath(), err)
	}
	want, got := firstWord(raw), inventory.SHA256(data)
	if want != got {
		return fmt.Errorf("%s: SHA-256 is %.12s…, %s says %.12s…", f.Path, got, f.checksumPath(), want)
	}
	return nil
}

// confirmedSHA256 returns the SHA-256 of the list that an operator has confirmed; empty for none.
func confirmedSHA256(f *File) string {
	raw, err := os.ReadFile(f.confirmPath())
	if err != nil || len(raw) > maxConfirmBytes {
		return ""
	}
	return firstWord(raw)
}

// firstWord returns the first word of a file in lower case: checksum tools write the file's name after the sum.
func firstWord(raw []byte) string {
	words := strings.Fields(string(raw))
	if len(words) == 0 {
		return ""
	}
	return strings.ToLower(words[0])
}

// maxFileBytes is how large a file may be for a node with so much memory, in bytes: parsing it must not have the node killed
// for memory. A larger file is rejected, and the last good list stays in use.
func maxFileBytes(memory int64) int64 {
	const (
		reserved = 24 << 20 // bytes that the node needs besides
		perByte  = 168      // bytes of memory for a byte of a YAML file, which needs more than CSV for as many servers
		minimum  = 32 << 10
	)
	if memory <= 0 { // not known
		return inventory.MaxBytes
	}
	return min(inventory.MaxBytes, max(minimum, (memory-reserved)/perByte))
}
