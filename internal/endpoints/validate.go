package endpoints

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/internal/operator"
)

// Limits of the options.
const (
	minPoll          = 10 * time.Millisecond // each poll calls stat on the files
	maxSettle        = 10 * time.Second
	maxPodHold       = time.Minute
	maxStaticServers = 4096 // about 150 bytes each, which fits the size limit of the operator file
)

// diagnostics collects the errors in a section.
type diagnostics []operator.Diagnostic

func (d *diagnostics) add(key, format string, args ...any) {
	*d = append(*d, operator.Diagnostic{Key: key, Message: fmt.Sprintf(format, args...)})
}

// require adds a diagnostic unless the condition holds.
func (d *diagnostics) require(ok bool, key, format string, args ...any) {
	if !ok {
		d.add(key, format, args...)
	}
}

// check validates the section. The keys of the diagnostics are relative to it.
func check(options any) []operator.Diagnostic {
	o := options.(*Options)
	var d diagnostics
	d.require(len(o.configuredSources()) > 0, "", "no source is configured: discovery is off, and there is no file or static server")
	checkValues(o, &d)
	checkFiles(o.Files, &d)
	checkStatic(o.Static, &d)
	checkSourceNames(o, &d)
	return d
}

// checkValues checks the scalar options and the number of static servers against their limits.
func checkValues(o *Options, d *diagnostics) {
	d.require(o.RemoveShare >= 0 && o.RemoveShare <= 1, "remove_share", "must be from 0 to 1, got %v", o.RemoveShare)
	d.require(o.MoveShare > 0 && o.MoveShare <= 1, "move_share", "must be above 0 and at most 1, got %v", o.MoveShare)
	d.require(o.RemoveLeast >= 0, "remove_least", "must not be negative, got %d", o.RemoveLeast)
	d.require(o.PodHold >= 0 && o.PodHold.Std() <= maxPodHold, "pod_hold", "must be from 0s to %v, got %v", maxPodHold, o.PodHold.Std())
	d.require(o.Tombstone >= 0, "tombstone", "must not be negative, got %v", o.Tombstone.Std())
	d.require(o.Settle >= 0 && o.Settle.Std() <= maxSettle, "settle", "must be from 0s to %v, got %v", maxSettle, o.Settle.Std())
	d.require(o.Poll.Std() >= minPoll, "poll", "must be at least %v, got %v", minPoll, o.Poll.Std())
	d.require(o.SaveEvery.Std() >= minPoll, "save_every", "must be at least %v, got %v", minPoll, o.SaveEvery.Std())
	d.require(len(o.Static) <= maxStaticServers, "static", "%d servers, at most %d are allowed", len(o.Static), maxStaticServers)
}

// checkSourceNames checks that each source name is a configured source, and that each key of Order is a field with a
// precedence.
func checkSourceNames(o *Options, d *diagnostics) {
	configured := o.configuredSources()
	names := strings.Join(o.sources(), ", ")
	for key, list := range map[string][]string{"precedence": o.Precedence, "require": o.Require} {
		for _, name := range list {
			d.require(slices.Contains(configured, name), key, "%q is not a source; expected one of: %s", name, names)
		}
	}
	fields := strings.Join(endpointmerge.Fields, ", ")
	for field, list := range o.Order {
		key := "order." + field
		d.require(slices.Contains(endpointmerge.Fields, field), key, "unknown field; expected one of: %s", fields)
		for _, name := range list {
			d.require(slices.Contains(configured, name), key, "%q is not a source", name)
		}
	}
}

// checkFiles reports the first error in each file's options.
func checkFiles(files []File, d *diagnostics) {
	seen := map[string]bool{sourceDiscovery: true, sourceStatic: true, endpointmerge.SourceRestored: true}
	for i, f := range files {
		key := fmt.Sprintf("file[%d]", i)
		switch ext := strings.ToLower(filepath.Ext(f.Path)); {
		case f.Path == "":
			d.add(key, "path is missing")
		case ext != ".csv" && ext != ".yaml" && ext != ".yml":
			d.add(key+".path", "unknown file extension %q: expected .csv, .yaml or .yml", ext)
		case seen[f.source()]:
			d.add(key, "another source has the name %q", f.source())
		case f.MinRows < 0:
			d.add(key+".min_rows", "must not be negative, got %d", f.MinRows)
		}
		seen[f.source()] = true
	}
}

// checkStatic reports the first error in each static server.
func checkStatic(servers []StaticServer, d *diagnostics) {
	ids := map[string]bool{}
	addresses := map[string]bool{}
	for i, s := range servers {
		key := fmt.Sprintf("static[%d]", i)
		_, err := netip.ParseAddrPort(strings.TrimPrefix(s.Address, inventory.SchemeCoAP))
		switch {
		case s.ID == "" || ids[s.ID]:
			d.add(key+".id", "id %q is empty or not unique", s.ID)
		case err != nil:
			d.add(key+".address", "%q is not an IP address with a port", s.Address)
		case addresses[s.Address]:
			d.add(key+".address", "address %s is not unique", s.Address)
		case s.Size < 0:
			d.add(key+".size", "must not be negative, got %v", s.Size)
		}
		ids[s.ID] = true
		addresses[s.Address] = true
	}
}
