package api

import (
	"fmt"
	"hash/crc32"
	"strings"

	"github.com/pkg/errors"
)

// Limits of a request.
const (
	// MinDeadlineMS and MaxDeadlineMS bound the deadline, in milliseconds.
	MinDeadlineMS = 1
	// MaxDeadlineMS is one day.
	MaxDeadlineMS = 86_400_000
	// MaxMembers bounds the members of a gang.
	MaxMembers = 1024
	// MaxMilliCPU bounds the processor cores of a member: 1,024 cores.
	MaxMilliCPU = 1_024_000
	// MaxMemoryMiB bounds the memory of a member: 16 TiB.
	MaxMemoryMiB = 16 << 20
	// MaxAccelerators bounds the accelerators of a member, in devices.
	MaxAccelerators = 64
	// MaxRunTimeMS bounds the declared run time: 30 days.
	MaxRunTimeMS = 2_592_000_000
	// MaxBodyBytes bounds the body of a request: 1 MiB.
	MaxBodyBytes = 1 << 20
	// MaxNameBytes bounds the names of teams and services.
	MaxNameBytes = 64
)

// FieldError reports one field whose value is not allowed.
type FieldError struct {
	// Field is the JSON name of the field.
	Field string
	// Got describes the rejected value.
	Got string
	// Allowed describes the allowed values.
	Allowed string
}

// Error implements error.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s is %s; allowed: %s", e.Field, e.Got, e.Allowed)
}

// ValidationError lists every field of a request whose value is not allowed.
type ValidationError []FieldError

// Error implements error.
func (e ValidationError) Error() string {
	parts := make([]string, len(e))
	for i, f := range e {
		parts[i] = f.Error()
	}
	return "invalid request: " + strings.Join(parts, "; ")
}

func (e *ValidationError) checkRange(field string, v, low, high int64, unit string) {
	if v < low || v > high {
		*e = append(*e, FieldError{field, fmt.Sprint(v), fmt.Sprintf("%d..%d %s", low, high, unit)})
	}
}

func (e *ValidationError) checkName(field, v string) {
	if validName(v, MaxNameBytes) {
		return
	}
	if len(v) > MaxNameBytes {
		v = v[:MaxNameBytes]
	}
	*e = append(*e, FieldError{field, fmt.Sprintf("%q", v), fmt.Sprintf(
		"1..%d letters, digits, '-', '_' or '.', starting with a letter or digit", MaxNameBytes)})
}

// Validate checks a request against the limits of this package. It returns a
// ValidationError that lists all invalid fields, or nil.
func (r *Request) Validate() error {
	var e ValidationError
	if _, err := ParseID(r.ID); err != nil {
		var id *IDError
		errors.As(err, &id)
		e = append(e, FieldError{"id", fmt.Sprintf("%q", id.ID), id.Err.Error()})
	}
	e.checkName("team", r.Team)
	e.checkName("service", r.Service)
	e.checkRange("deadline_ms", int64(r.DeadlineMS), MinDeadlineMS, MaxDeadlineMS, "ms")
	e.checkRange("resources.milli_cpu", r.Resources.MilliCPU, 0, MaxMilliCPU, "thousandths of a core; 0 takes the service's")
	e.checkRange("resources.memory_mib", r.Resources.MemoryMiB, 0, MaxMemoryMiB, "MiB; 0 takes the service's")
	e.checkRange("resources.accelerators", r.Resources.Accelerators, 0, MaxAccelerators, "devices")
	if r.Members != 0 {
		e.checkRange("members", int64(r.Members), 1, MaxMembers, "members; 0 means 1")
	}
	e.checkRange("run_time_ms", int64(r.RunTimeMS), 0, MaxRunTimeMS, "ms; 0 takes the service's")
	if len(r.Body) > MaxBodyBytes {
		e = append(e, FieldError{"body", fmt.Sprintf("%d bytes", len(r.Body)), fmt.Sprintf("0..%d bytes", MaxBodyBytes)})
	}
	if len(e) == 0 {
		return nil
	}
	return e
}

// Errors of Response.Verify.
var (
	// ErrOtherRequest means that the response carries another request's ID.
	ErrOtherRequest = errors.New("response belongs to another request")
	// ErrIncomplete means that the length or the checksum of the response's body
	// is wrong.
	ErrIncomplete = errors.New("response is truncated or damaged")
	// ErrOutcome means that the response has no outcome that this package
	// defines, or a body that doesn't fit the outcome.
	ErrOutcome = errors.New("response has no known outcome")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of a body for the Checksum field of Response.
func Checksum(body []byte) uint32 { return crc32.Checksum(body, castagnoli) }

// Verify checks that the response belongs to the request id and that its body
// is complete according to its length and CRC-32C. The length and checksum are
// not checked if BodyDropped is set and there is no body. It returns an error
// that wraps ErrOtherRequest, ErrIncomplete or ErrOutcome.
func (r *Response) Verify(id string) error {
	if r.ID != id {
		return errors.Wrapf(ErrOtherRequest, "asked for %s, got %s", id, r.ID)
	}
	switch r.Outcome {
	case Answered:
	case NotRun, Unknown:
		if len(r.Body) != 0 {
			return errors.Wrapf(ErrOutcome, "%s: outcome %s carries a body", id, r.Outcome)
		}
		return nil
	default:
		return errors.Wrapf(ErrOutcome, "%s: outcome %q", id, r.Outcome)
	}
	if r.BodyDropped && len(r.Body) == 0 {
		return nil
	}
	if len(r.Body) != r.Length {
		return errors.Wrapf(ErrIncomplete, "%s: %d of %d bytes", id, len(r.Body), r.Length)
	}
	if sum := Checksum(r.Body); sum != r.Checksum {
		return errors.Wrapf(ErrIncomplete, "%s: checksum %08x, want %08x", id, sum, r.Checksum)
	}
	return nil
}
