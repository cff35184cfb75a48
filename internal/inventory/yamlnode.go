package inventory

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Limits of a YAML file. Aliases are resolved, so a short file can expand to a very long list (the "billion laughs" attack). The
// parser recurses at each bracket and dash, so a long sequence of them would exhaust the stack.
const (
	maxNodes     = 2_000_000 // an aliased node counts once per use
	maxDepth     = 32        // nesting depth of groups, lists, mappings and aliases
	maxLineBytes = 16 << 10
)

// parseYAMLFile parses a file. It returns a panic of the parser as an error, since an external file must not crash the process.
func parseYAMLFile(body []byte) (file *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			file = nil
			err = fmt.Errorf("the YAML parser panicked: %v", p)
		}
	}()
	return parser.ParseBytes(body, 0)
}

// checkYAMLLimits checks a file for content that must not reach the parser. It returns the position and a message for the first
// violation, or an empty message if there is none.
func checkYAMLLimits(body []byte) (position, string) {
	if pos, ok := checkUTF8(body); !ok {
		return pos, "invalid UTF-8"
	}
	depth := 0
	lineNumber := 0
	for line := range bytes.Lines(body) {
		lineNumber++
		pos := position{line: lineNumber, column: 1}
		if len(line) > maxLineBytes {
			return pos, fmt.Sprintf("the line has %d bytes, at most %d are allowed", len(line), maxLineBytes)
		}
		deepest := 0
		depth, deepest = bracketDepth(line, depth)
		if deepest > maxDepth {
			return pos, fmt.Sprintf("brackets are nested more than %d deep", maxDepth)
		}
		if leadingIndicators(line) > maxDepth {
			return pos, fmt.Sprintf("lists are nested more than %d deep", maxDepth)
		}
	}
	return position{}, ""
}

// bracketDepth counts the brackets of a line. It returns the nesting depth after the line and the maximum depth within it,
// given the depth before it.
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

// leadingIndicators counts the YAML indicators at the start of a line, each of which can add a nesting level.
func leadingIndicators(line []byte) int {
	count := 0
	for _, c := range line {
		switch c {
		case '-', '?', '!', '&', '*', ':':
			count++
		case ' ', '\t':
		default:
			return count
		}
	}
	return count
}

// errorPosition returns the position of a parser error, or the zero position if it has none.
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

// errorMessage returns the message of a parser error without the excerpt of the file.
func errorMessage(err error) string {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		return yamlErr.GetMessage()
	}
	first, _, _ := bytes.Cut([]byte(err.Error()), []byte("\n"))
	return string(first)
}

// nodePosition returns the position of a node, or the zero position if it has none.
func nodePosition(n ast.Node) position {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return position{}
	}
	p := n.GetToken().Position
	return position{line: p.Line, column: p.Column}
}

// resolve follows anchors, aliases and tags to a value. It returns nil if there is none or if a limit is exceeded.
func (r *yamlReader) resolve(n ast.Node, depth int) ast.Node {
	for range maxDepth {
		r.resolvedNodes++
		if r.resolvedNodes > maxNodes || depth > maxDepth {
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
				r.report(nodePosition(n), "alias %q: no anchor of this name precedes it", name)
				return nil
			}
			n = target
		case *ast.TagNode:
			n = v.Value
		default:
			return n
		}
	}
	r.report(nodePosition(n), "anchors and aliases form a cycle")
	return nil
}

// reportLimit reports that a limit is exceeded, once per file.
func (r *yamlReader) reportLimit(n ast.Node) {
	if !r.limitExceeded {
		r.limitExceeded = true
		r.report(nodePosition(n), "aliases and lists expand to more than %d values or are nested more than %d deep", maxNodes, maxDepth)
	}
}

// entry is a key of a mapping with its value.
type entry struct {
	key   string
	value ast.Node
	pos   position
}

// entries returns the entries of a mapping, followed by those of merged mappings (<<) whose keys the mapping does not have.
func (r *yamlReader) entries(n ast.Node, depth int) []entry {
	var pairs []*ast.MappingValueNode
	switch v := n.(type) {
	case *ast.MappingNode:
		pairs = v.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{v}
	default:
		r.report(nodePosition(n), "expected a mapping")
		return nil
	}
	var entries, merged []entry
	for _, pair := range pairs {
		if r.limitExceeded {
			return nil
		}
		if _, isMerge := pair.Key.(*ast.MergeKeyNode); !isMerge {
			entries = append(entries, entry{key: pair.Key.GetToken().Value, value: pair.Value, pos: nodePosition(pair.Key)})
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

// scalarText returns a scalar as the text in the file, or an empty text for null. It returns false if the node is not a scalar.
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
