package loader

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a 1-based line and column in the file. The column counts runes.
type position struct{ line, column int }

// positionIndex maps the dotted paths of keys and sections to their positions.
type positionIndex map[string]position

// nearest returns the position of path, or of the innermost enclosing section that
// the file has. If there is none, it returns the start of the file.
func (x positionIndex) nearest(path string) position {
	for {
		if pos, ok := x[path]; ok {
			return pos
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return position{1, 1}
		}
		path = path[:dot]
	}
}

// newPositionIndex builds the index of a valid TOML document. It uses the unstable
// parser because toml.Unmarshal reports positions only for its own errors, while
// findings about values need the positions of their keys.
func newPositionIndex(src []byte) positionIndex {
	x := make(positionIndex)
	var parser unstable.Parser
	parser.Reset(src)
	var section []string
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			section = x.addKeyPath(&parser, src, nil, node.Key())
		case unstable.KeyValue:
			x.addKeyPath(&parser, src, section, node.Key())
		}
	}
	return x
}

// addKeyPath records the position of each prefix of a dotted key and returns the
// full path of the key. It keeps the first position of a path that occurs more than
// once.
func (x positionIndex) addKeyPath(parser *unstable.Parser, src []byte, section []string, keyParts unstable.Iterator) []string {
	path := append([]string(nil), section...)
	for keyParts.Next() {
		node := keyParts.Node()
		path = append(path, string(node.Data))
		start := parser.Shape(node.Raw).Start
		dotted := strings.Join(path, ".")
		if _, exists := x[dotted]; !exists {
			x[dotted] = position{start.Line, runeColumn(src, start.Line, start.Column)}
		}
	}
	return path
}
