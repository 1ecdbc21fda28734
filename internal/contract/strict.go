package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

var rawMessageType = reflect.TypeFor[json.RawMessage]()

// decode decodes JSON into the value that into points to and reports every key
// that is unknown, repeated or of the wrong type. encoding/json alone stops at
// the first error and matches keys regardless of case.
func (c *checker) decode(raw []byte, into any) {
	if !json.Valid(raw) {
		c.addError("", string(raw), "valid JSON")
		return
	}
	c.decodeValue(raw, reflect.ValueOf(into).Elem(), "")
}

func (c *checker) decodeValue(raw []byte, into reflect.Value, path string) {
	raw = bytes.TrimSpace(raw)
	switch {
	case into.Type() == rawMessageType:
		into.SetBytes(slices.Clone(raw))
	case bytes.Equal(raw, []byte("null")):
		c.addError(path, "null", typeName(into.Type()))
	case into.Kind() == reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		c.decodeValue(raw, into.Elem(), path)
	case into.Kind() == reflect.Struct:
		c.decodeStruct(raw, into, path)
	case into.Kind() == reflect.Slice && into.Type().Elem().Kind() != reflect.Uint8:
		var items []json.RawMessage
		if json.Unmarshal(raw, &items) != nil {
			c.addError(path, string(raw), typeName(into.Type()))
			return
		}
		into.Set(reflect.MakeSlice(into.Type(), len(items), len(items)))
		for i, item := range items {
			c.decodeValue(item, into.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
	default:
		if json.Unmarshal(raw, into.Addr().Interface()) != nil {
			c.addError(path, string(raw), typeName(into.Type()))
		}
	}
}

func (c *checker) decodeStruct(raw []byte, into reflect.Value, path string) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		c.addError(path, string(raw), "an object")
		return
	}
	fields := map[string]int{}
	for i := range into.NumField() {
		key, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("json"), ",")
		fields[key] = i
	}
	seen := map[string]bool{}
	for dec.More() {
		tok, err := dec.Token()
		key, isKey := tok.(string)
		var value json.RawMessage
		if err != nil || !isKey || dec.Decode(&value) != nil {
			c.addError(path, string(raw), "an object")
			return
		}
		i, known := fields[key]
		switch {
		case !known:
			keys := make([]string, 0, len(fields))
			for k := range fields {
				keys = append(keys, k)
			}
			slices.Sort(keys)
			c.addError(joinPath(path, key), "an unknown key", "the keys "+strings.Join(keys, ", "))
		case seen[key]:
			c.addError(joinPath(path, key), "a repeated key", "each key once")
		default:
			c.decodeValue(value, into.Field(i), joinPath(path, key))
		}
		seen[key] = true
	}
}

// typeName describes the JSON type that decodes into a Go type, for error
// messages.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer, reflect.Struct:
		return "an object"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return "a base64 string"
		}
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint64:
		return "an integer of at least 0"
	default:
		return "an integer"
	}
}
