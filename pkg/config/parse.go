package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Parse parses one whole document from JSON or YAML. It rejects unknown fields,
// wrong types and repeated keys with a *fault.Error of code InvalidConfiguration
// whose problems have line numbers. Parse does not check the values; Validate and
// Compile do.
func Parse(source []byte) (*Document, error) {
	text, err := toJSON(source)
	if err != nil {
		return nil, invalidError([]Problem{locateSyntax(source, err)})
	}
	document, err := decode(text, nil)
	if err != nil {
		return nil, invalidError([]Problem{locateSyntax(source, err)})
	}
	document.source = source
	return document, nil
}

// toJSON returns JSON unchanged and converts YAML to JSON.
func toJSON(source []byte) ([]byte, error) {
	if len(bytes.TrimSpace(source)) == 0 {
		return nil, &schemaError{message: "the document is empty"}
	}
	if isJSON(source) {
		return source, nil
	}
	return yaml.YAMLToJSON(source)
}

// isJSON reports whether the first byte after white space opens a JSON object.
func isJSON(source []byte) bool {
	return bytes.HasPrefix(bytes.TrimSpace(source), []byte("{"))
}

// accountVisitor is called for each account with the byte range of its JSON object
// in the part.
type accountVisitor func(account Account, start, end int)

// decode decodes a document section by section. If visit is not nil, it is called
// for each account, and the accounts are not added to the document.
func decode(text []byte, visit accountVisitor) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	document := &Document{}
	if err := expectDelim(decoder, '{'); err != nil {
		return nil, err
	}
	if err := checkKeys(text); err != nil {
		return nil, err
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		if err := document.decodeSection(decoder, text, Section(fmt.Sprint(key)), visit); err != nil {
			return nil, err
		}
	}
	if err := expectDelim(decoder, '}'); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, &schemaError{message: "there is text after the document", offset: decoder.InputOffset()}
	}
	return document, nil
}

// decodeSection decodes the value of one top-level key.
func (d *Document) decodeSection(decoder *json.Decoder, text []byte, section Section, visit accountVisitor) error {
	switch section {
	case Classes:
		return decodeValue(decoder, text, &d.Classes)
	case Rules:
		return decodeValue(decoder, text, &d.Rules)
	case Targets:
		return decodeValue(decoder, text, &d.Targets)
	case Upstreams:
		return decodeValue(decoder, text, &d.Upstreams)
	case Accounts:
		if visit == nil {
			return decodeValue(decoder, text, &d.Accounts)
		}
		return decodeAccounts(decoder, text, visit)
	default:
		return &schemaError{field: string(section), message: "unknown section", offset: decoder.InputOffset()}
	}
}

// decodeValue decodes one value. The decoder reports the offset of a type mismatch
// relative to the value; decodeValue converts it to an offset in the text.
func decodeValue(decoder *json.Decoder, text []byte, value any) error {
	start := decoder.InputOffset()
	err := decoder.Decode(value)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		rest := text[start:]
		rest = bytes.TrimLeft(rest, " \t\r\n")
		rest = bytes.TrimLeft(rest, ":,")
		mismatch.Offset += int64(len(text) - len(rest))
	}
	return err
}

// decodeAccounts decodes the accounts one by one, so that a large part needs
// little memory.
func decodeAccounts(decoder *json.Decoder, text []byte, visit accountVisitor) error {
	if err := expectDelim(decoder, '['); err != nil {
		return err
	}
	for decoder.More() {
		start := int(decoder.InputOffset())
		var account Account
		if err := decodeValue(decoder, text, &account); err != nil {
			return err
		}
		end := int(decoder.InputOffset())
		start += bytes.IndexByte(text[start:end], '{')
		visit(account, start, end)
	}
	return expectDelim(decoder, ']')
}

// expectDelim reads one delimiter.
func expectDelim(decoder *json.Decoder, want json.Delim) error {
	token, err := decoder.Token()
	if err == io.EOF {
		return &schemaError{message: "the document ends early", offset: decoder.InputOffset()}
	}
	if err != nil {
		return err
	}
	if token != want {
		return &schemaError{message: fmt.Sprintf("want %q", rune(want)), offset: decoder.InputOffset()}
	}
	return nil
}
