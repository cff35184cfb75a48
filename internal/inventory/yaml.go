package inventory

import (
	"bytes"
	"fmt"
	"maps"

	"github.com/goccy/go-yaml/ast"
)

// Keys of a group of servers.
const (
	keyDefaults = "defaults"
	keyServers  = "servers"
	keyGroups   = "groups"
)

// ParseYAML parses a list of servers, or a mapping with servers and groups:
//
//	defaults: {zone: a}
//	servers:
//	  - {id: s1, address: "10.0.0.1:80", pod: "7"}
//	groups:
//	  west:
//	    defaults: {zone: b}
//	    servers: [{id: s2, address: "10.0.0.2:80"}]
//
// A group inherits the defaults of the groups that contain it. Scalars keep the text in the file, whatever their YAML type:
// the ids no, 0123 and 1e3 stay as they are written. The error is a *Diagnostics.
func ParseYAML(name string, raw []byte, o Options) (List, error) {
	if err := checkSize(name, raw); err != nil {
		return List{}, err
	}
	r := &yamlReader{reader: newReader(name, o), anchors: map[string]ast.Node{}}
	r.read(bytes.TrimPrefix(raw, byteOrderMark))
	return r.result(raw)
}

// yamlReader parses the servers of a YAML file.
type yamlReader struct {
	*reader
	anchors       map[string]ast.Node
	resolvedNodes int  // nodes resolved so far, limited by maxNodes
	limitExceeded bool // a limit was exceeded and has been reported
}

// read parses the file. If the file fails checkYAMLLimits or has a syntax error, it reports only that error.
func (r *yamlReader) read(body []byte) {
	if pos, message := checkYAMLLimits(body); message != "" {
		r.report(pos, "%s", message)
		return
	}
	file, err := parseYAMLFile(body)
	if err != nil {
		r.report(errorPosition(err), "%s", errorMessage(err))
		return
	}
	switch {
	case len(file.Docs) == 0 || file.Docs[0].Body == nil:
		r.report(position{}, "the file is empty")
	case len(file.Docs) > 1:
		r.report(nodePosition(file.Docs[1].Body), "the file has a second document: expected a single document")
	default:
		r.readDocument(file.Docs[0].Body)
	}
	r.checkTrailer(body)
}

func (r *yamlReader) readDocument(n ast.Node) {
	n = r.resolve(n, 0)
	switch n.(type) {
	case nil:
	case *ast.SequenceNode:
		r.readServers(n, nil, 0)
	case *ast.MappingNode, *ast.MappingValueNode:
		r.readGroup(n, nil, 0)
	default:
		r.report(nodePosition(n), "expected a list of servers, or a mapping with servers and groups")
	}
}

// readGroup parses a mapping with defaults, servers and groups.
func (r *yamlReader) readGroup(n ast.Node, inherited map[string]value, depth int) {
	entries := r.entries(n, depth)
	defaults := maps.Clone(inherited)
	if defaults == nil {
		defaults = map[string]value{}
	}
	// Defaults are read first, since they apply to the whole mapping wherever they are in it.
	for _, e := range entries {
		if e.key == keyDefaults {
			r.readDefaults(e, defaults, depth)
		}
	}
	for _, e := range entries {
		switch e.key {
		case keyDefaults:
		case keyServers:
			if servers := r.resolve(e.value, depth+1); servers != nil {
				r.readServers(servers, defaults, depth+1)
			}
		case keyGroups:
			r.readGroups(e.value, defaults, depth+1)
		default:
			r.report(e.pos, "unknown key %q: expected defaults, servers or groups", e.key)
		}
	}
}

func (r *yamlReader) readDefaults(e entry, defaults map[string]value, depth int) {
	maps.Copy(defaults, r.readFields(e.value, depth+1))
	if _, ok := defaults[fieldID]; ok {
		r.report(e.pos, "an id cannot be a default")
	}
}

// readGroups parses a mapping of groups by name.
func (r *yamlReader) readGroups(n ast.Node, defaults map[string]value, depth int) {
	groups := r.resolve(n, depth)
	if groups == nil {
		return
	}
	for _, e := range r.entries(groups, depth) {
		if group := r.resolve(e.value, depth+1); group != nil {
			r.readGroup(group, defaults, depth+1)
		}
	}
}

// readServers parses a list of servers.
func (r *yamlReader) readServers(n ast.Node, defaults map[string]value, depth int) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		r.report(nodePosition(n), "expected a list of servers")
		return
	}
	for _, item := range list.Values {
		if r.limitExceeded {
			return
		}
		server := r.resolve(item, depth)
		if server == nil {
			return
		}
		r.readServer(item, server, defaults, depth)
	}
}

// readServer parses one server. The item is its node in the list, which may be an alias of the server's node.
func (r *yamlReader) readServer(item, server ast.Node, defaults map[string]value, depth int) {
	values := map[string]value{}
	for name, v := range defaults {
		v.pos = position{} // errors in defaults are reported at the server's position
		values[name] = v
	}
	maps.Copy(values, r.readFields(server, depth+1))
	pos := nodePosition(item)
	if pos.line == 0 {
		pos = nodePosition(server)
	}
	pos.row = len(r.servers) + 1
	for name, v := range values {
		v.pos.row = pos.row
		values[name] = v
	}
	r.addRow(pos, values)
}

// readFields parses a mapping whose values are scalars or lists of scalars.
func (r *yamlReader) readFields(n ast.Node, depth int) map[string]value {
	n = r.resolve(n, depth)
	if n == nil {
		return nil
	}
	values := map[string]value{}
	for _, e := range r.entries(n, depth) {
		name, known := r.fieldName(e.key)
		if _, duplicate := values[name]; duplicate {
			r.report(e.pos, "duplicate key %q", name)
			continue
		}
		if field := r.resolve(e.value, depth+1); field != nil {
			r.readField(values, name, known, field, depth)
		}
	}
	return values
}

// readField parses one field into values. For an unknown field, a value that is not a scalar is kept as YAML text.
func (r *yamlReader) readField(values map[string]value, name string, known bool, n ast.Node, depth int) {
	if list, ok := n.(*ast.SequenceNode); ok {
		values[name] = r.readList(list, name, known, depth+1)
		return
	}
	text, ok := scalarText(n)
	if !ok && known {
		r.report(nodePosition(n), "%s: expected a single value", name)
		return
	}
	if !ok {
		text = n.String()
	}
	values[name] = value{text: text, pos: nodePosition(n)}
}

// readList parses a field whose value is a list. Among the known fields, only tags can be a list.
func (r *yamlReader) readList(list *ast.SequenceNode, name string, known bool, depth int) value {
	v := value{pos: nodePosition(list), list: []string{}}
	for _, item := range list.Values {
		item = r.resolve(item, depth)
		if item == nil {
			break
		}
		text, ok := scalarText(item)
		if known && (!ok || name != fieldTags) {
			r.report(nodePosition(item), "%s: expected a single value", name)
			return v
		}
		if !known {
			text = item.String()
		}
		v.list = append(v.list, text)
	}
	if name != fieldTags {
		v.text = fmt.Sprint(v.list)
	}
	return v
}
