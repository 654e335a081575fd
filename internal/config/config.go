// Package config reads the TOML files of command milldeck. Decoding is strict: an unknown key or a value of the wrong type
// is an error that names the file, the line and the key. Callers report an invalid value in the same form with File.Errorf.
// The package does not define the keys of any file; each caller passes a struct of its own.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFileBytes limits the size of a file. Files that are written by hand are far smaller.
const maxFileBytes = 4 << 20

// Error is an error in a configuration file.
type Error struct {
	File string // path
	Line int    // counted from 1; 0 if unknown
	Key  string // dotted, such as "class[1].aim_ms"; "" if the error concerns no key
	Err  error
}

func (e *Error) Error() string {
	var text strings.Builder
	text.WriteString(e.File)
	if e.Line > 0 {
		text.WriteString(":" + strconv.Itoa(e.Line))
	}
	if e.Key != "" {
		text.WriteString(": " + e.Key)
	}
	return text.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// File holds the lines of the keys of a parsed file, so that later checks can name a line in their errors.
type File struct {
	Path  string
	lines map[string]int
}

// Load decodes the file at path into v, a pointer to a struct with toml tags. A key without a field in v is an error. Every
// error is an *Error.
func Load(path string, v any) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Err: errors.Unwrap(err)} // the outer *fs.PathError would repeat the path
	}
	return Parse(path, data, v)
}

// Parse is Load for the contents of a file. Errors name path as the file.
func Parse(path string, data []byte, v any) (*File, error) {
	if len(data) > maxFileBytes {
		return nil, &Error{File: path, Err: fmt.Errorf("file has %d bytes; the limit is %d", len(data), maxFileBytes)}
	}
	f := &File{Path: path, lines: keyLines(data)}
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().EnableUnmarshalerInterface().Decode(v)
	var unknownKeys *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
		return f, nil
	case errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0:
		first := &unknownKeys.Errors[0]
		line, _ := first.Position()
		return nil, &Error{path, line, strings.Join(first.Key(), "."), errors.New("unknown key")}
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		// The prefix adds nothing to the file name and line.
		message := strings.TrimPrefix(decodeErr.Error(), "toml: ")
		return nil, &Error{path, line, strings.Join(decodeErr.Key(), "."), errors.New(message)}
	default:
		return nil, &Error{File: path, Err: err}
	}
}

// Errorf returns an *Error for a key in the form "rate", "class[1].aim_ms" or "fault[0]". If the key is absent, the line is
// that of the enclosing table.
func (f *File) Errorf(key, format string, args ...any) error {
	nearest := key
	for nearest != "" && f.lines[nearest] == 0 {
		separator := strings.LastIndexAny(nearest, ".[")
		nearest = nearest[:max(separator, 0)]
	}
	return &Error{f.Path, f.lines[nearest], key, fmt.Errorf(format, args...)}
}

// keyLines maps each key and table of a document to its line. The name of an array table ends with its index. keyLines
// stops at the first expression that it cannot parse, because decoding reports the error.
func keyLines(data []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	var parser unstable.Parser
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		name, line := keyOf(&parser, expression)
		switch expression.Kind {
		case unstable.Table:
			table = name
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			lines[name] = line
			continue
		}
		lines[table] = line
	}
	return lines
}

// keyOf returns the dotted key of an expression and the line on which the key begins.
func keyOf(parser *unstable.Parser, expression *unstable.Node) (name string, line int) {
	var parts []string
	for key := expression.Key(); key.Next(); {
		node := key.Node()
		if line == 0 {
			line = parser.Shape(parser.Range(node.Data)).Start.Line
		}
		parts = append(parts, string(node.Data))
	}
	return strings.Join(parts, "."), line
}
