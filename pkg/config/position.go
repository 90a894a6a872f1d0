package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// schemaError is a breach of the document's shape at an offset in its JSON.
type schemaError struct {
	field   string
	message string
	offset  int64
}

// Error returns the message.
func (e *schemaError) Error() string { return e.message }

// locateSyntax turns a failure to decode into a problem with its place. The
// YAML library reads JSON as well and knows the line of what it refuses.
func locateSyntax(source []byte, cause error) Problem {
	problem := Problem{Index: -1, Message: cause.Error()}
	var schema *schemaError
	if errors.As(cause, &schema) {
		problem.Field = schema.field
	}
	var yamlError yaml.Error
	if !errors.As(cause, &yamlError) {
		err := yaml.UnmarshalWithOptions(source, &Document{}, yaml.DisallowUnknownField())
		errors.As(err, &yamlError)
	}
	if yamlError != nil {
		problem.Message = yamlError.GetMessage()
		if token := yamlError.GetToken(); token != nil {
			problem.Line = token.Position.Line
			attribute(source, &problem)
		}
		return problem
	}
	if offset := offsetOf(cause); offset > 0 && offset <= int64(len(source)) {
		problem.Line = 1 + bytes.Count(source[:offset], []byte("\n"))
	}
	return problem
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

// attribute finds the item and field that stand on the problem's line.
func attribute(source []byte, problem *Problem) {
	file, err := parser.ParseBytes(source, 0)
	if err != nil {
		return
	}
	for section := range singular {
		items, ok := sequence(file, section)
		if !ok {
			continue
		}
		for index, item := range items {
			fields, ok := item.(ast.MapNode)
			if !ok {
				continue
			}
			for iter := fields.MapRange(); iter.Next(); {
				if iter.Key().GetToken().Position.Line != problem.Line {
					continue
				}
				problem.Section = section
				problem.Index = index
				problem.Field = iter.Key().GetToken().Value
				problem.Item = itemName(fields)
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
	file, err := parser.ParseBytes(source, 0)
	if err != nil {
		return
	}
	for i := range problems {
		problems[i].Line = lineOf(file, problems[i])
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
