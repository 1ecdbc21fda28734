package contract

import (
	"fmt"
	"strings"
)

// maxShown bounds the length in bytes of each text quoted in a FieldError,
// because field errors are kept in the configuration and its snapshots.
const maxShown = 128

// FieldError says that one field of a configuration object has a value that
// is not allowed.
type FieldError struct {
	// Object is "<kind>/<name>".
	Object string `json:"object"`
	// Path leads to the field, with dots between the JSON keys.
	Path string `json:"path"`
	// Value is the refused value, shortened to 128 bytes.
	Value string `json:"value,omitempty"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
}

// Error implements error.
func (e FieldError) Error() string {
	field := e.Object
	if e.Path != "" {
		field += ": " + e.Path
	}
	if e.Value == "" {
		return fmt.Sprintf("%s: allowed: %s", field, e.Allowed)
	}
	return fmt.Sprintf("%s: got %s, allowed: %s", field, e.Value, e.Allowed)
}

// ValidationError holds all field errors of a record or a set of objects.
type ValidationError struct {
	Fields []FieldError
}

// Error implements error. It has one line for each field.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Error()
	}
	return "invalid configuration:\n" + strings.Join(lines, "\n")
}

// checker collects the field errors of one object.
type checker struct {
	object string
	fields []FieldError
}

func (c *checker) add(path, value, allowed string) {
	c.fields = append(c.fields, FieldError{shorten(c.object), shorten(path), shorten(value), allowed})
}

func shorten(text string) string {
	if len(text) > maxShown {
		return strings.ToValidUTF8(text[:maxShown], "") + "..."
	}
	return text
}

func (c *checker) within(path string, value, low, high int64) {
	if value < low || value > high {
		c.add(path, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) err() error {
	if len(c.fields) == 0 {
		return nil
	}
	return &ValidationError{Fields: c.fields}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
