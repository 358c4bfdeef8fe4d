package loader

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a place in the file, counted from 1.
type position struct{ line, column int }

// index maps the dotted paths of keys and sections to their positions.
type index map[string]position

// find returns the position of the path or of the nearest section around it. A
// path in a section that the file lacks is at the start of the file.
func (x index) find(path string) position {
	for {
		if at, ok := x[path]; ok {
			return at
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return position{1, 1}
		}
		path = path[:dot]
	}
}

// indexPositions walks a document that is known to be valid. The ordinary
// decoder gives positions for its own errors only; findings about values need
// those of the keys.
func indexPositions(src []byte) index {
	x := make(index)
	var p unstable.Parser
	p.Reset(src)
	var section []string
	for p.NextExpression() {
		node := p.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			section = x.addKey(&p, src, nil, node.Key())
		case unstable.KeyValue:
			x.addKey(&p, src, section, node.Key())
		}
	}
	return x
}

// addKey records the positions of all parts of a dotted key and returns its
// full path. The first occurrence of a path counts.
func (x index) addKey(p *unstable.Parser, src []byte, section []string, parts unstable.Iterator) []string {
	path := append([]string(nil), section...)
	for parts.Next() {
		node := parts.Node()
		path = append(path, string(node.Data))
		start := p.Shape(node.Raw).Start
		joined := strings.Join(path, ".")
		if _, known := x[joined]; !known {
			x[joined] = position{start.Line, characterColumn(src, start.Line, start.Column)}
		}
	}
	return path
}
