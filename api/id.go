package api

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Lengths of a request ID, in bytes.
const (
	// MaxFailureDomainBytes bounds the name of a failure domain, as DNS bounds
	// a label.
	MaxFailureDomainBytes = 63
	// uuidBytes is the length of the canonical text form of RFC 9562.
	uuidBytes = 36
	// MaxIDBytes bounds a request ID.
	MaxIDBytes = MaxFailureDomainBytes + 1 + uuidBytes
)

// Faults of a request ID. An *IDError wraps one of them.
var (
	// ErrIDForm means that the ID is not "<failure domain>/<UUID>" or a UUID
	// in the canonical lower-case form.
	ErrIDForm = errors.New(`must be "<failure domain>/<UUID>" or a UUID, in lower-case canonical form`)
	// ErrIDHome means that the failure domain has a character or a length that
	// is not allowed.
	ErrIDHome = errors.New("failure domain must be 1 to 63 letters, digits, '-', '_' or '.', starting with a letter or digit")
	// ErrIDVersion means that the UUID is not of version 7 as in RFC 9562, so
	// that its creation time is not known.
	ErrIDVersion = errors.New("UUID must be of version 7 (RFC 9562)")
)

// IDError reports a malformed request ID.
type IDError struct {
	// ID is the rejected text, shortened to MaxIDBytes.
	ID string
	// Err is ErrIDForm, ErrIDHome or ErrIDVersion.
	Err error
}

// Error implements error.
func (e *IDError) Error() string { return fmt.Sprintf("request ID %q: %s", e.ID, e.Err) }

// Unwrap returns the fault.
func (e *IDError) Unwrap() error { return e.Err }

// ID is a parsed request ID.
type ID struct {
	// Home is the home failure domain; empty for a bare UUID.
	Home string
	// Created is the creation time by the caller's clock, to the millisecond.
	Created time.Time
}

// NewID returns a new request ID whose home is failureDomain; an empty
// failureDomain gives a bare UUID. It returns an *IDError that wraps ErrIDHome
// for a malformed name, or the error of the system's random source.
func NewID(failureDomain string) (string, error) {
	if failureDomain != "" && !validName(failureDomain, MaxFailureDomainBytes) {
		return "", idError(failureDomain, ErrIDHome)
	}
	u, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "create UUID")
	}
	if failureDomain == "" {
		return u.String(), nil
	}
	return failureDomain + "/" + u.String(), nil
}

// ParseID parses a request ID. Only the canonical form is accepted, so that
// two spellings cannot name two records of one request. It returns an *IDError
// that wraps ErrIDForm, ErrIDHome or ErrIDVersion.
func ParseID(s string) (ID, error) {
	text, home := s, ""
	if i := strings.IndexByte(s, '/'); i >= 0 {
		home, text = s[:i], s[i+1:]
		if !validName(home, MaxFailureDomainBytes) {
			return ID{}, idError(s, ErrIDHome)
		}
	}
	if len(text) != uuidBytes {
		return ID{}, idError(s, ErrIDForm)
	}
	for i := range len(text) {
		if c := text[i]; c >= 'A' && c <= 'F' {
			return ID{}, idError(s, ErrIDForm)
		}
	}
	u, err := uuid.Parse(text)
	if err != nil {
		return ID{}, idError(s, ErrIDForm)
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return ID{}, idError(s, ErrIDVersion)
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return ID{Home: home, Created: time.UnixMilli(ms)}, nil
}

func idError(s string, err error) error {
	if len(s) > MaxIDBytes {
		s = s[:MaxIDBytes]
	}
	return &IDError{ID: s, Err: err}
}

// validName reports whether s is a name of at most limit bytes.
func validName(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alnum := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alnum && (i == 0 || c != '-' && c != '_' && c != '.') {
			return false
		}
	}
	return true
}
