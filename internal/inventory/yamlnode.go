package inventory

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// The limits of a YAML file. Aliases are followed, so that a short text can stand for a very long list (a "billion laughs");
// and the parser recurses with every bracket and dash, so that a long row of them would use up the stack.
const (
	maxNodes     = 2_000_000 // an aliased one counts each time that it is used
	maxDepth     = 32        // of groups, lists, mappings and aliases within each other
	maxLineBytes = 16 << 10
)

// parseYAMLFile parses a file. A panic of the parser is an error: a file from outside must not end the process.
func parseYAMLFile(body []byte) (file *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			file = nil
			err = fmt.Errorf("the parser gave up: %v", p)
		}
	}()
	return parser.ParseBytes(body, 0)
}

// checkYAMLLimits finds what must not reach the parser: where it stands and a message, which is empty if there is nothing.
func checkYAMLLimits(body []byte) (position, string) {
	if at, ok := checkUTF8(body); !ok {
		return at, "not UTF-8"
	}
	depth := 0
	lineNumber := 0
	for line := range bytes.Lines(body) {
		lineNumber++
		at := position{line: lineNumber, column: 1}
		if len(line) > maxLineBytes {
			return at, fmt.Sprintf("a line of %d bytes, %d at most", len(line), maxLineBytes)
		}
		deepest := 0
		depth, deepest = bracketDepth(line, depth)
		if deepest > maxDepth {
			return at, fmt.Sprintf("more than %d brackets within each other", maxDepth)
		}
		if nestingMarks(line) > maxDepth {
			return at, fmt.Sprintf("more than %d lists within each other", maxDepth)
		}
	}
	return position{}, ""
}

// bracketDepth counts brackets from a depth: the depth after a line, and the deepest within it.
func bracketDepth(line []byte, depth int) (after, deepest int) {
	for _, c := range line {
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		}
		deepest = max(deepest, depth)
	}
	return depth, deepest
}

// nestingMarks counts the marks of nesting with which a line begins.
func nestingMarks(line []byte) int {
	marks := 0
	for _, c := range line {
		switch c {
		case '-', '?', '!', '&', '*', ':':
			marks++
		case ' ', '\t':
		default:
			return marks
		}
	}
	return marks
}

// errorPosition is where an error of the parser stands.
func errorPosition(err error) position {
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		return position{}
	}
	token := yamlErr.GetToken()
	if token == nil || token.Position == nil {
		return position{}
	}
	return position{line: token.Position.Line, column: token.Position.Column}
}

// errorMessage is an error of the parser without the excerpt of the file.
func errorMessage(err error) string {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		return yamlErr.GetMessage()
	}
	first, _, _ := bytes.Cut([]byte(err.Error()), []byte("\n"))
	return string(first)
}

// nodePosition is where a node stands.
func nodePosition(n ast.Node) position {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return position{}
	}
	p := n.GetToken().Position
	return position{line: p.Line, column: p.Column}
}

// resolve follows anchors, aliases and tags to a value; nil if there is none or a limit is exceeded.
func (r *yamlReader) resolve(n ast.Node, depth int) ast.Node {
	for range maxDepth {
		r.resolved++
		if r.resolved > maxNodes || depth > maxDepth {
			r.reportLimit(n)
			return nil
		}
		switch v := n.(type) {
		case *ast.AnchorNode:
			r.anchors[v.Name.GetToken().Value] = v.Value
			n = v.Value
		case *ast.AliasNode:
			name := v.Value.GetToken().Value
			target, known := r.anchors[name]
			if !known {
				r.report(nodePosition(n), "alias %q names no anchor before it", name)
				return nil
			}
			n = target
		case *ast.TagNode:
			n = v.Value
		default:
			return n
		}
	}
	r.report(nodePosition(n), "anchors and aliases in a circle")
	return nil
}

// reportLimit reports once that a limit is exceeded.
func (r *yamlReader) reportLimit(n ast.Node) {
	if !r.limitExceeded {
		r.limitExceeded = true
		r.report(nodePosition(n), "aliases and lists make more than %d values, or stand more than %d deep", maxNodes, maxDepth)
	}
}

// entry is one key of a mapping.
type entry struct {
	key   string
	value ast.Node
	at    position
}

// entries are a mapping's keys, followed by those of the mappings that it merges in (<<) and does not have itself.
func (r *yamlReader) entries(n ast.Node, depth int) []entry {
	var pairs []*ast.MappingValueNode
	switch v := n.(type) {
	case *ast.MappingNode:
		pairs = v.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{v}
	default:
		r.report(nodePosition(n), "a mapping is wanted")
		return nil
	}
	var entries, merged []entry
	for _, pair := range pairs {
		if r.limitExceeded {
			return nil
		}
		if _, isMerge := pair.Key.(*ast.MergeKeyNode); !isMerge {
			entries = append(entries, entry{key: pair.Key.GetToken().Value, value: pair.Value, at: nodePosition(pair.Key)})
			continue
		}
		if source := r.resolve(pair.Value, depth); source != nil {
			merged = append(merged, r.entries(source, depth+1)...)
		}
	}
	for _, m := range merged {
		if !hasKey(entries, m.key) {
			entries = append(entries, m)
		}
	}
	return entries
}

func hasKey(entries []entry, key string) bool {
	for _, e := range entries {
		if e.key == key {
			return true
		}
	}
	return false
}

// scalarText is a scalar as it is written, empty for null; false if the node is no scalar.
func scalarText(n ast.Node) (string, bool) {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value, true
	case *ast.LiteralNode:
		return v.Value.Value, true
	case *ast.NullNode:
		return "", true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value, true
	}
	return "", false
}
