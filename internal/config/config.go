// Package config reads the TOML files of the operators' command. Reading is strict: an unknown key or a value of the wrong
// type is an error that names file, line and key, and later checks of the values can report in the same way. It defines
// no file's contents: each command has its own.
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

// maxFileBytes bounds what is read; a file that is written by hand is far smaller.
const maxFileBytes = 4 << 20

// Error is an error in a file.
type Error struct {
	File string // its path
	Line int    // from 1; 0 if it is not known
	Key  string // dotted, as "class[1].aim_ms"; "" if the error is not of a key
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

// File is a file that was read. It remembers the lines of its keys, so that later checks can name them.
type File struct {
	Path  string
	lines map[string]int
}

// Load reads the file at path into v, a pointer to a struct with toml tags. Any error is an *Error, also that of a
// key that v has no field for.
func Load(path string, v any) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Err: errors.Unwrap(err)} // the *fs.PathError around it names the path again
	}
	return Parse(path, data, v)
}

// Parse is Load for data that has been read already; path names it in errors.
func Parse(path string, data []byte, v any) (*File, error) {
	if len(data) > maxFileBytes {
		return nil, &Error{File: path, Err: fmt.Errorf("%d bytes, at most %d are read", len(data), maxFileBytes)}
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
		// The prefix says nothing beside file and line.
		message := strings.TrimPrefix(decodeErr.Error(), "toml: ")
		return nil, &Error{path, line, strings.Join(decodeErr.Key(), "."), errors.New(message)}
	default:
		return nil, &Error{File: path, Err: err}
	}
}

// Errorf returns an *Error at a key as written in the file, such as "rate", "class[1].aim_ms" or "fault[0]". If the key is
// absent, the line is that of the table that lacks it.
func (f *File) Errorf(key, format string, args ...any) error {
	known := key
	for known != "" && f.lines[known] == 0 {
		parent := strings.LastIndexAny(known, ".[")
		known = known[:max(parent, 0)]
	}
	return &Error{f.Path, f.lines[known], key, fmt.Errorf(format, args...)}
}

// keyLines maps each key and table of a document to its line. Array tables carry their index. What cannot be parsed has
// no lines; decoding reports it.
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

// keyOf returns the dotted key of an expression and the line on which it begins.
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
