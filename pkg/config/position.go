package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"
)

// schemaError is a violation of the document schema at an offset in the JSON text.
type schemaError struct {
	field   string
	message string
	offset  int64
	// tooDeep reports whether the text is nested too deeply to be parsed further.
	tooDeep bool
}

// Error returns the message.
func (e *schemaError) Error() string { return e.message }

// position is a position in a text. Line and column start at one.
type position struct{ line, column int }

// before reports whether p comes before other.
func (p position) before(other position) bool {
	return p.line < other.line || (p.line == other.line && p.column < other.column)
}

// positionAt returns the position of a byte offset.
func positionAt(source []byte, offset int64) position {
	head := source[:min(int(offset), len(source))]
	return position{
		line:   1 + bytes.Count(head, []byte("\n")),
		column: len(head) - bytes.LastIndexByte(head, '\n'),
	}
}

// tokenPosition returns the position of a token of the YAML library.
func tokenPosition(t *token.Token) position {
	return position{line: t.Position.Line, column: t.Position.Column}
}

// locateSyntax converts a decoding error to a problem with line, item and field.
func locateSyntax(source []byte, cause error) Problem {
	problem := Problem{Index: -1, Message: errorMessage(cause), Line: 1}
	var schema *schemaError
	if errors.As(cause, &schema) {
		problem.Field = schema.field
	}
	at, ok := errorPosition(source, cause, &problem)
	if ok {
		problem.Line = at.line
	}
	if ok && (schema == nil || !schema.tooDeep) {
		locateItem(source, at, &problem)
	}
	return problem
}

// errorMessage returns the message of a decoding error without Go type names.
func errorMessage(cause error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(cause, &mismatch) {
		return "a value of type " + mismatch.Value + " does not fit here"
	}
	return cause.Error()
}

// errorPosition returns the position of a decoding error. If the JSON decoder does
// not give a usable offset, the YAML library, which also parses JSON, provides the
// position, and for syntax errors a clearer message.
func errorPosition(source []byte, cause error, problem *Problem) (position, bool) {
	var yamlError yaml.Error
	if errors.As(cause, &yamlError) {
		problem.Message = yamlError.GetMessage()
	} else {
		if offset := offsetOf(cause); offset > 0 && isJSON(source) && !isSyntaxError(cause) {
			return positionAt(source, offset), true
		}
		err := yaml.UnmarshalWithOptions(source, &Document{}, yaml.DisallowUnknownField())
		errors.As(err, &yamlError)
	}
	if yamlError == nil || yamlError.GetToken() == nil {
		return position{}, false
	}
	if isSyntaxError(cause) {
		problem.Message = yamlError.GetMessage()
	}
	return tokenPosition(yamlError.GetToken()), true
}

// isSyntaxError reports whether the text is not valid JSON.
func isSyntaxError(cause error) bool {
	var syntax *json.SyntaxError
	return errors.As(cause, &syntax)
}

// offsetOf returns the byte offset of a JSON error, or zero if it has none.
func offsetOf(cause error) int64 {
	var schema *schemaError
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(cause, &schema):
		return schema.offset
	case errors.As(cause, &syntax):
		return syntax.Offset
	case errors.As(cause, &mismatch):
		return mismatch.Offset
	}
	return 0
}

// locateItem sets the item and field of the problem to those of the last key that
// starts at or before the position.
func locateItem(source []byte, at position, problem *Problem) {
	file, err := parser.ParseBytes(source, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return
	}
	var last position
	for section := range singular {
		items, _ := sectionItems(file, section)
		for index, item := range items {
			fields, ok := item.(ast.MapNode)
			if !ok {
				continue
			}
			for iter := fields.MapRange(); iter.Next(); {
				key := iter.Key().GetToken()
				start := tokenPosition(key)
				if at.before(start) || start.before(last) {
					continue
				}
				last = start
				problem.Section, problem.Index = section, index
				problem.Field, problem.Item = key.Value, itemName(fields)
			}
		}
	}
}

// sectionItems returns the items of a section.
func sectionItems(file *ast.File, section Section) ([]ast.Node, bool) {
	node, ok := findNode(file, "$."+string(section))
	if !ok {
		return nil, false
	}
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		return nil, false
	}
	return list.Values, true
}

// itemName returns the value of the name or id key.
func itemName(fields ast.MapNode) string {
	for iter := fields.MapRange(); iter.Next(); {
		key := iter.Key().GetToken().Value
		if key == "name" || key == "id" {
			return iter.Value().GetToken().Value
		}
	}
	return ""
}

// findNode returns the node at the path.
func findNode(file *ast.File, path string) (ast.Node, bool) {
	compiled, err := yaml.PathString(path)
	if err != nil {
		return nil, false
	}
	node, err := compiled.FilterFile(file)
	return node, err == nil && node != nil
}

// fillLines sets the lines of the problems of a document that was parsed from
// source.
func fillLines(source []byte, problems []Problem) {
	if len(source) == 0 || len(problems) == 0 {
		return
	}
	file, err := parser.ParseBytes(source, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return
	}
	for i := range problems {
		problems[i].Line = max(1, lineOf(file, problems[i]))
	}
}

// lineOf returns the line of the problem's field. If the field is not in the text,
// it returns the line of the item or section, or zero. A problem of the whole
// document is on line one.
func lineOf(file *ast.File, problem Problem) int {
	if problem.Section == "" {
		return 1
	}
	section := "$." + string(problem.Section)
	item := fmt.Sprintf("%s[%d]", section, problem.Index)
	for _, path := range []string{item + "." + problem.Field, item, section} {
		if node, ok := findNode(file, path); ok {
			return firstLine(node)
		}
	}
	return 0
}

// firstLine returns the line on which the node starts.
func firstLine(node ast.Node) int {
	if fields, ok := node.(ast.MapNode); ok {
		if iter := fields.MapRange(); iter.Next() {
			return iter.Key().GetToken().Position.Line
		}
	}
	return node.GetToken().Position.Line
}
