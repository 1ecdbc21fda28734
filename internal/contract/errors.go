package contract

import (
	"fmt"
	"strings"
)

// maxQuotedBytes bounds the length in bytes of each text quoted in a
// FieldError, because field errors are stored in the configuration and its
// snapshots.
const maxQuotedBytes = 128

// FieldError reports a field of a configuration object whose value is not
// allowed.
type FieldError struct {
	// Object is "<kind>/<name>".
	Object string `json:"object"`
	// Path is the path of the field: JSON keys separated by dots.
	Path string `json:"path"`
	// Value is the rejected value, truncated to 128 bytes.
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

// Error implements error with one line for each field.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Error()
	}
	return "invalid configuration:\n" + strings.Join(lines, "\n")
}

// checker collects field errors. object is the FieldError.Object of the errors
// that addError adds.
type checker struct {
	object string
	fields []FieldError
}

func (c *checker) addError(path, value, allowed string) {
	c.fields = append(c.fields, FieldError{truncate(c.object), truncate(path), truncate(value), allowed})
}

func truncate(text string) string {
	if len(text) > maxQuotedBytes {
		return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
	}
	return text
}

func (c *checker) checkRange(path string, value, low, high int64) {
	if value < low || value > high {
		c.addError(path, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) err() error {
	if len(c.fields) == 0 {
		return nil
	}
	return &ValidationError{Fields: c.fields}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
