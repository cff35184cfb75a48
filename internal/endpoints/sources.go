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

// Names of the sources that are not files.
const (
	sourceDiscovery = "discovery"
	sourceStatic    = "static"
)

// maxConfirmBytes is the maximum size of a confirmation file, which contains one checksum.
const maxConfirmBytes = 1024

// enqueue queues an event for the goroutine that owns the view. It blocks while the queue is full, until the subsystem stops.
func (i *Inventory) enqueue(e sourceEvent) {
	select {
	case i.events <- e:
	case <-i.done:
	}
}

// handleDiscovery queues discovery's list or its changes for merging. It runs on the discovery client's goroutine.
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
		i.enqueue(sourceEvent{event: endpointmerge.Snapshot{Source: sourceDiscovery, Revision: revision, Servers: servers}})
	case balancer.DeltaUpdate:
		i.enqueue(sourceEvent{event: endpointmerge.Delta{Source: sourceDiscovery, Revision: revision, Updated: servers, Removed: removed}})
	case balancer.CachedUpdate:
		// This list was cached before the node restarted and is older than any source's report, so it is treated as restored.
		if len(servers) > 0 {
			i.enqueue(sourceEvent{event: endpointmerge.Snapshot{Source: endpointmerge.SourceRestored, Revision: "known", Servers: servers,
				Origins: originsOf(servers, sourceDiscovery)}})
		}
	}
}

// originsOf returns the origins of servers that come from one source.
func originsOf(servers []inventory.Server, source string) map[string][]string {
	origins := make(map[string][]string, len(servers))
	for _, s := range servers {
		origins[s.ID] = []string{source}
	}
	return origins
}

// fromDiscovery converts a member of discovery's list. Any phase except SERVING counts as draining.
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

// watchFile reads a list file whenever the file, its confirmation or its checksum changes, until the context ends.
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

// handleFile parses a list file and queues its list, or the error if it could not be read or parsed.
func (i *Inventory) handleFile(f *File, e filewatch.Event) {
	if e.Err != nil {
		i.enqueue(sourceEvent{file: f, err: e.Err})
		return
	}
	// The confirmation is queued before the list, since it may apply to that list.
	if sum := confirmedSHA256(f); sum != "" {
		i.enqueue(sourceEvent{event: endpointmerge.Confirmed{Source: f.source(), Revision: sum}})
	}
	list, err := parseFile(f, e.Data)
	if err != nil {
		i.enqueue(sourceEvent{file: f, err: err})
		return
	}
	snapshot := endpointmerge.Snapshot{Source: f.source(), Revision: list.SHA256, Servers: list.Servers}
	i.enqueue(sourceEvent{file: f, servers: len(list.Servers), event: snapshot})
}

// parseFile verifies a file's checksum, if one is required, and parses the file.
func parseFile(f *File, data []byte) (inventory.List, error) {
	if err := verifyChecksum(f, data); err != nil {
		return inventory.List{}, err
	}
	return inventory.Parse(f.Path, data, f.parseOptions())
}

// verifyChecksum compares a file's SHA-256 with its checksum file, if one is required.
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
		return fmt.Errorf("%s: SHA-256 is %.12s…, but %s contains %.12s…", f.Path, got, f.checksumPath(), want)
	}
	return nil
}

// confirmedSHA256 returns the SHA-256 of the list that an operator has confirmed, or an empty string if there is none.
func confirmedSHA256(f *File) string {
	raw, err := os.ReadFile(f.confirmPath())
	if err != nil || len(raw) > maxConfirmBytes {
		return ""
	}
	return firstWord(raw)
}

// firstWord returns the first word of a file in lower case. Checksum tools write the file's name after the checksum.
func firstWord(raw []byte) string {
	words := strings.Fields(string(raw))
	if len(words) == 0 {
		return ""
	}
	return strings.ToLower(words[0])
}

// maxFileBytes returns the maximum size in bytes of a list file for a node with a memory limit in bytes. Parsing a larger file
// could get the node killed for exceeding its memory limit, so the file is rejected and the last accepted list stays in use.
func maxFileBytes(memoryLimit int64) int64 {
	const (
		reserved = 24 << 20 // bytes of memory for the rest of the node
		perByte  = 168      // bytes of memory per byte of a YAML file; YAML needs more than CSV for the same number of servers
		minimum  = 32 << 10 // bytes
	)
	if memoryLimit <= 0 { // unknown
		return inventory.MaxBytes
	}
	return min(inventory.MaxBytes, max(minimum, (memoryLimit-reserved)/perByte))
}
