package yaml

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Error is one error in a settings file.
type Error struct {
	File string
	Line int    // counted from 1
	Path string // path of the setting, such as vms[2].listen.peers; empty if the file could not be decoded
	Text string // what was found and what was expected
}

// Error implements error and returns file, line, path and text.
func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Path, e.Text)
}

// Read returns the validated settings in the named file; it joins all errors that it finds.
func Read(fileName string) (Settings, error) {
	data, err := os.ReadFile(fileName)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(fileName, data)
}

// Parse returns the validated settings in data; fileName is the file name in errors.
func Parse(fileName string, data []byte) (Settings, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Settings{}, syntaxError(fileName, err)
	}
	var f file
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := dec.Decode(&f); err != nil {
		return Settings{}, syntaxError(fileName, err)
	}
	c := checker{fileName: fileName, tree: tree}
	s := c.settings(f)
	return s, c.err()
}

// syntaxError converts an error of the YAML library to an Error with the line of the token that it refers to.
func syntaxError(fileName string, err error) error {
	var ye yaml.Error
	e := &Error{File: fileName, Line: 1, Text: err.Error()}
	if errors.As(err, &ye) {
		e.Text = ye.GetMessage()
		if t := ye.GetToken(); t != nil && t.Position != nil {
			e.Line = t.Position.Line
		}
	}
	e.Text = rewordMessage(e.Text)
	return e
}

// typeMismatch matches the YAML library's message about a value of the wrong type.
var typeMismatch = regexp.MustCompile(`cannot unmarshal (\w+) into Go (?:struct field \S+|value) of type (\w+)`)

// rewordMessage replaces Go types in the YAML library's messages by the kind of value that the setting expects.
func rewordMessage(text string) string {
	text = strings.ReplaceAll(text, "unknown field", "unknown key")
	m := typeMismatch.FindStringSubmatch(text)
	if m == nil {
		return text
	}
	expected := map[string]string{"int": "a whole number", "float64": "a number", "string": "text", "bool": "true or false"}[m[2]]
	if expected == "" {
		expected = "a list or a group of keys"
	}
	return fmt.Sprintf("got a %s, expected %s", m[1], expected)
}

// pathLine returns the line of the nearest existing node at or above the path.
func pathLine(tree *ast.File, path string) int {
	for p := path; p != ""; p = parentPath(p) {
		yp, err := yaml.PathString("$." + p)
		if err != nil {
			continue
		}
		n, err := yp.FilterFile(tree)
		if err != nil || n == nil {
			continue
		}
		return startLine(n)
	}
	return 1
}

func startLine(n ast.Node) int {
	switch v := n.(type) {
	case *ast.MappingNode:
		if len(v.Values) > 0 {
			return v.Values[0].Key.GetToken().Position.Line
		}
	case *ast.MappingValueNode:
		return v.Key.GetToken().Position.Line
	}
	return n.GetToken().Position.Line
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
