package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// maxDepth is the maximum nesting depth of a document.
const maxDepth = 8

// checkKeys rejects keys that the JSON decoder accepts: keys that are repeated in
// an object, and keys that match a field only case-insensitively. It also rejects
// unknown keys, since it knows their offset.
func checkKeys(text []byte) error {
	c := keyChecker{decoder: json.NewDecoder(bytes.NewReader(text)), fields: map[reflect.Type]map[string]reflect.Type{}}
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	return c.checkValue(token, reflect.TypeFor[Document]())
}

// keyChecker checks the tokens of a document against its Go type.
type keyChecker struct {
	decoder *json.Decoder
	depth   int
	// fields caches the field types of structs by JSON name.
	fields map[reflect.Type]map[string]reflect.Type
}

// checkValue checks one value, whose first token has been read. A nil type accepts
// any value.
func (c *keyChecker) checkValue(token json.Token, typ reflect.Type) error {
	_, nested := token.(json.Delim)
	if !nested {
		return nil
	}
	if c.depth == maxDepth {
		return &schemaError{message: "the document is nested too deeply", offset: c.decoder.InputOffset(), tooDeep: true}
	}
	c.depth++
	defer func() { c.depth-- }()
	if token == json.Delim('{') {
		return c.checkObject(typ)
	}
	return c.checkArray(elementType(typ, reflect.Slice))
}

// checkArray checks the rest of an array after its first token.
func (c *keyChecker) checkArray(element reflect.Type) error {
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		if err := c.checkValue(token, element); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// checkObject checks the rest of an object after its first token.
func (c *keyChecker) checkObject(typ reflect.Type) error {
	seen := map[string]bool{}
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		if seen[key] {
			return c.keyError(key, "the key %q is repeated")
		}
		seen[key] = true
		if err := c.checkField(typ, key); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// checkField checks one key and its value.
func (c *keyChecker) checkField(typ reflect.Type, key string) error {
	value := elementType(typ, reflect.Map)
	if typ != nil && typ.Kind() == reflect.Struct {
		known, ok := c.fieldsOf(typ)[key]
		if !ok {
			return c.keyError(key, "unknown field %q")
		}
		value = known
	}
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	return c.checkValue(token, value)
}

// keyError returns the error for the key that was read last.
func (c *keyChecker) keyError(key, format string) error {
	return &schemaError{field: key, message: fmt.Sprintf(format, key), offset: c.decoder.InputOffset()}
}

// fieldsOf returns the field types of a struct by JSON name.
func (c *keyChecker) fieldsOf(typ reflect.Type) map[string]reflect.Type {
	if known, ok := c.fields[typ]; ok {
		return known
	}
	fields := map[string]reflect.Type{}
	for _, field := range reflect.VisibleFields(typ) {
		if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
			fields[name] = field.Type
		}
	}
	c.fields[typ] = fields
	return fields
}

// elementType returns the element type of typ if it has the kind, or nil.
func elementType(typ reflect.Type, kind reflect.Kind) reflect.Type {
	if typ == nil || typ.Kind() != kind {
		return nil
	}
	return typ.Elem()
}
