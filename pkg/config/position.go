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

// schemaError is a breach of the document's shape at an offset in its JSON.
type schemaError struct {
	field   string
	message string
	offset  int64
	// deep says that the text is nested too deeply to be read further.
	deep bool
}

// Error returns the message.
func (e *schemaError) Error() string { return e.message }

// place is a position in a text; both count from one.
type place struct{ line, column int }

// before reports whether p comes before other.
func (p place) before(other place) bool {
	return p.line < other.line || (p.line == other.line && p.column < other.column)
}

// placeOf returns the place of a byte offset.
func placeOf(source []byte, offset int64) place {
	head := source[:min(int(offset), len(source))]
	return place{
		line:   1 + bytes.Count(head, []byte("\n")),
		column: len(head) - bytes.LastIndexByte(head, '\n'),
	}
}

// tokenPlace returns the place of a token of the YAML library.
func tokenPlace(t *token.Token) place {
	return place{line: t.Position.Line, column: t.Position.Column}
}

// locateSyntax turns a failure to decode into a problem with its place.
func locateSyntax(source []byte, cause error) Problem {
	problem := Problem{Index: -1, Message: messageOf(cause), Line: 1}
	var schema *schemaError
	if errors.As(cause, &schema) {
		problem.Field = schema.field
	}
	at, ok := placeOfFailure(source, cause, &problem)
	if ok {
		problem.Line = at.line
	}
	if ok && (schema == nil || !schema.deep) {
		attribute(source, at, &problem)
	}
	return problem
}

// messageOf says what is wrong without the names of Go types.
func messageOf(cause error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(cause, &mismatch) {
		return "a value of type " + mismatch.Value + " does not fit here"
	}
	return cause.Error()
}

// placeOfFailure finds where decoding failed. The YAML library reads JSON as
// well; it knows the place of what is YAML and the better words for broken
// syntax.
func placeOfFailure(source []byte, cause error, problem *Problem) (place, bool) {
	var yamlError yaml.Error
	if errors.As(cause, &yamlError) {
		problem.Message = yamlError.GetMessage()
	} else {
		if offset := offsetOf(cause); offset > 0 && isJSON(source) && !isBroken(cause) {
			return placeOf(source, offset), true
		}
		err := yaml.UnmarshalWithOptions(source, &Document{}, yaml.DisallowUnknownField())
		errors.As(err, &yamlError)
	}
	if yamlError == nil || yamlError.GetToken() == nil {
		return place{}, false
	}
	if isBroken(cause) {
		problem.Message = yamlError.GetMessage()
	}
	return tokenPlace(yamlError.GetToken()), true
}

// isBroken reports whether the text is no JSON at all.
func isBroken(cause error) bool {
	var syntax *json.SyntaxError
	return errors.As(cause, &syntax)
}

// offsetOf returns the byte offset that a JSON failure names, or zero.
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

// attribute finds the item and field at the place: those of the last key that
// starts before it.
func attribute(source []byte, at place, problem *Problem) {
	file, err := parser.ParseBytes(source, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return
	}
	var last place
	for section := range singular {
		items, _ := sequence(file, section)
		for index, item := range items {
			fields, ok := item.(ast.MapNode)
			if !ok {
				continue
			}
			for iter := fields.MapRange(); iter.Next(); {
				key := iter.Key().GetToken()
				start := tokenPlace(key)
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

// sequence returns the items of a section.
func sequence(file *ast.File, section Section) ([]ast.Node, bool) {
	node, ok := find(file, "$."+string(section))
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

// find returns the node at the path.
func find(file *ast.File, path string) (ast.Node, bool) {
	compiled, err := yaml.PathString(path)
	if err != nil {
		return nil, false
	}
	node, err := compiled.FilterFile(file)
	return node, err == nil && node != nil
}

// locate fills in the lines of the problems of a document that was read from
// one source.
func locate(source []byte, problems []Problem) {
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

// lineOf returns the line of the problem's field, or else of its item or
// section, or zero.
func lineOf(file *ast.File, problem Problem) int {
	if problem.Section == "" {
		return 1
	}
	section := "$." + string(problem.Section)
	item := fmt.Sprintf("%s[%d]", section, problem.Index)
	for _, path := range []string{item + "." + problem.Field, item, section} {
		if node, ok := find(file, path); ok {
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
