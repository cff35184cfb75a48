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

// The bounds of what an operator may set.
const (
	minPoll          = 10 * time.Millisecond // each poll stats the files
	maxSettle        = 10 * time.Second
	maxPodHold       = time.Minute
	maxStaticServers = 4096 // some 150 bytes each, within the bound of the operator file
)

// diagnostics collects what is wrong with a section.
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

// check is the section's check, by keys within it.
func check(options any) []operator.Diagnostic {
	o := options.(*Options)
	var d diagnostics
	d.require(len(o.configuredSources()) > 0, "", "no source is named")
	checkValues(o, &d)
	checkFiles(o.Files, &d)
	checkStatic(o.Static, &d)
	checkSourceNames(o, &d)
	return d
}

// checkValues checks the single values against their bounds.
func checkValues(o *Options, d *diagnostics) {
	d.require(o.RemoveShare >= 0 && o.RemoveShare <= 1, "remove_share", "must be a share from 0 to 1")
	d.require(o.MoveShare > 0 && o.MoveShare <= 1, "move_share", "must be above 0 and at most 1")
	d.require(o.RemoveLeast >= 0, "remove_least", "must not be negative")
	d.require(o.PodHold >= 0 && o.PodHold.Std() <= maxPodHold, "pod_hold", "must be 0s to %v", maxPodHold)
	d.require(o.Tombstone >= 0, "tombstone", "must not be negative")
	d.require(o.Settle >= 0 && o.Settle.Std() <= maxSettle, "settle", "must be 0s to %v", maxSettle)
	d.require(o.Poll.Std() >= minPoll, "poll", "must be at least %v", minPoll)
	d.require(o.SaveEvery.Std() >= minPoll, "save_every", "must be at least %v", minPoll)
	d.require(len(o.Static) <= maxStaticServers, "static", "%d servers, %d at most", len(o.Static), maxStaticServers)
}

// checkSourceNames checks that every name in the precedences is a source, and every field one that has a precedence.
func checkSourceNames(o *Options, d *diagnostics) {
	configured := o.configuredSources()
	names := strings.Join(o.sources(), ", ")
	for key, list := range map[string][]string{"precedence": o.Precedence, "require": o.Require} {
		for _, name := range list {
			d.require(slices.Contains(configured, name), key, "%q is no source; there are: %s", name, names)
		}
	}
	fields := strings.Join(endpointmerge.Fields, ", ")
	for field, list := range o.Order {
		key := "order." + field
		d.require(slices.Contains(endpointmerge.Fields, field), key, "no such field; there are: %s", fields)
		for _, name := range list {
			d.require(slices.Contains(configured, name), key, "%q is no source", name)
		}
	}
}

// checkFiles reports the first thing that is wrong with each file.
func checkFiles(files []File, d *diagnostics) {
	seen := map[string]bool{sourceDiscovery: true, sourceStatic: true, endpointmerge.SourceRestored: true}
	for i, f := range files {
		key := fmt.Sprintf("file[%d]", i)
		switch ext := strings.ToLower(filepath.Ext(f.Path)); {
		case f.Path == "":
			d.add(key, "path is missing")
		case ext != ".csv" && ext != ".yaml" && ext != ".yml":
			d.add(key+".path", "ending %q is not known: .csv, .yaml or .yml is wanted", ext)
		case seen[f.source()]:
			d.add(key, "another source has the name %q", f.source())
		case f.MinRows < 0:
			d.add(key+".min_rows", "must not be negative")
		}
		seen[f.source()] = true
	}
}

// checkStatic reports the first thing that is wrong with each server.
func checkStatic(servers []StaticServer, d *diagnostics) {
	ids := map[string]bool{}
	addresses := map[string]bool{}
	for i, s := range servers {
		key := fmt.Sprintf("static[%d]", i)
		_, err := netip.ParseAddrPort(strings.TrimPrefix(s.Address, inventory.SchemeCoAP))
		switch {
		case s.ID == "" || ids[s.ID]:
			d.add(key+".id", "id %q is missing or comes twice", s.ID)
		case err != nil:
			d.add(key+".address", "%q is no IP address with a port", s.Address)
		case addresses[s.Address]:
			d.add(key+".address", "%s comes twice", s.Address)
		case s.Size < 0:
			d.add(key+".size", "must not be negative")
		}
		ids[s.ID] = true
		addresses[s.Address] = true
	}
}
