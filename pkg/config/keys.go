package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// maxDepth bounds the nesting of a document.
const maxDepth = 8

// checkKeys refuses what the JSON decoder lets pass: keys that are repeated in
// one object, and keys that match a field only when the case is ignored. It
// refuses unknown keys as well, since it knows their place.
func checkKeys(text []byte) error {
	w := keyWalker{decoder: json.NewDecoder(bytes.NewReader(text)), fields: map[reflect.Type]map[string]reflect.Type{}}
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	return w.value(token, reflect.TypeFor[Document]())
}

// keyWalker walks through the tokens of a document along its type.
type keyWalker struct {
	decoder *json.Decoder
	depth   int
	// fields caches the fields of structs by JSON name.
	fields map[reflect.Type]map[string]reflect.Type
}

// value walks through one value, whose first token has been read. A nil type
// means that any value goes.
func (w *keyWalker) value(token json.Token, kind reflect.Type) error {
	_, nested := token.(json.Delim)
	if !nested {
		return nil
	}
	if w.depth == maxDepth {
		return &schemaError{message: "the document is nested too deeply", offset: w.decoder.InputOffset(), deep: true}
	}
	w.depth++
	defer func() { w.depth-- }()
	if token == json.Delim('{') {
		return w.object(kind)
	}
	return w.array(elementType(kind, reflect.Slice))
}

// array walks through the rest of an array.
func (w *keyWalker) array(element reflect.Type) error {
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		if err := w.value(token, element); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

// object walks through the rest of an object.
func (w *keyWalker) object(kind reflect.Type) error {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		if seen[key] {
			return w.refuse(key, "the key %q is repeated")
		}
		seen[key] = true
		if err := w.field(kind, key); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

// field checks one key and walks through its value.
func (w *keyWalker) field(kind reflect.Type, key string) error {
	value := elementType(kind, reflect.Map)
	if kind != nil && kind.Kind() == reflect.Struct {
		known, ok := w.fieldsOf(kind)[key]
		if !ok {
			return w.refuse(key, "unknown field %q")
		}
		value = known
	}
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	return w.value(token, value)
}

// refuse is the failure of the key that was read last.
func (w *keyWalker) refuse(key, format string) error {
	return &schemaError{field: key, message: fmt.Sprintf(format, key), offset: w.decoder.InputOffset()}
}

// fieldsOf returns the types of the struct's fields by JSON name.
func (w *keyWalker) fieldsOf(kind reflect.Type) map[string]reflect.Type {
	if known, ok := w.fields[kind]; ok {
		return known
	}
	fields := map[string]reflect.Type{}
	for _, field := range reflect.VisibleFields(kind) {
		if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
			fields[name] = field.Type
		}
	}
	w.fields[kind] = fields
	return fields
}

// elementType returns the element type of a slice or map, or nil.
func elementType(kind reflect.Type, want reflect.Kind) reflect.Type {
	if kind == nil || kind.Kind() != want {
		return nil
	}
	return kind.Elem()
}
