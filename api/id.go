package api

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Limits and lengths of a request ID and its parts, in bytes.
const (
	// MaxFailureDomainBytes bounds the name of a failure domain. It is the limit
	// of a DNS label.
	MaxFailureDomainBytes = 63
	// uuidBytes is the length of a UUID in the canonical text form of RFC 9562.
	uuidBytes = 36
	// MaxIDBytes bounds a request ID.
	MaxIDBytes = MaxFailureDomainBytes + 1 + uuidBytes
)

// Errors of a malformed request ID. An *IDError wraps one of them.
var (
	// ErrIDForm means that the ID is not "<failure domain>/<UUID>" or a UUID
	// in the canonical lower-case form.
	ErrIDForm = errors.New(`must be "<failure domain>/<UUID>" or a UUID, in lower-case canonical form`)
	// ErrIDHome means that the failure domain has a character or a length that
	// is not allowed.
	ErrIDHome = errors.New("failure domain must be 1 to 63 letters, digits, '-', '_' or '.', starting with a letter or digit")
	// ErrIDVersion means that the UUID is not of version 7 (RFC 9562) and so
	// does not contain its creation time.
	ErrIDVersion = errors.New("UUID must be of version 7 (RFC 9562)")
)

// IDError reports a malformed request ID.
type IDError struct {
	// ID is the rejected text, truncated to MaxIDBytes.
	ID string
	// Err is ErrIDForm, ErrIDHome or ErrIDVersion.
	Err error
}

// Error implements error.
func (e *IDError) Error() string { return fmt.Sprintf("request ID %q: %s", e.ID, e.Err) }

// Unwrap returns Err.
func (e *IDError) Unwrap() error { return e.Err }

// ID is a parsed request ID.
type ID struct {
	// Home is the home failure domain, in which an entry host, the record keeper,
	// stores the request's record; empty for a bare UUID, for which the entry
	// hosts derive it from the ID.
	Home string
	// Created is the creation time according to the caller's clock, with
	// millisecond precision.
	Created time.Time
}

// NewID returns a new request ID whose home is failureDomain; an empty
// failureDomain gives a bare UUID. It returns an *IDError that wraps ErrIDHome
// for a malformed name, or the error of the system's random source.
func NewID(failureDomain string) (string, error) {
	if failureDomain != "" && !validName(failureDomain, MaxFailureDomainBytes) {
		return "", newIDError(failureDomain, ErrIDHome)
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

// ParseID parses a request ID. It accepts only the canonical form, so that one
// request cannot get two records under two spellings of its ID. It returns an
// *IDError that wraps ErrIDForm, ErrIDHome or ErrIDVersion.
func ParseID(s string) (ID, error) {
	uuidText, home := s, ""
	if i := strings.IndexByte(s, '/'); i >= 0 {
		home, uuidText = s[:i], s[i+1:]
		if !validName(home, MaxFailureDomainBytes) {
			return ID{}, newIDError(s, ErrIDHome)
		}
	}
	if len(uuidText) != uuidBytes {
		return ID{}, newIDError(s, ErrIDForm)
	}
	for i := range len(uuidText) {
		if c := uuidText[i]; c >= 'A' && c <= 'F' {
			return ID{}, newIDError(s, ErrIDForm)
		}
	}
	u, err := uuid.Parse(uuidText)
	if err != nil {
		return ID{}, newIDError(s, ErrIDForm)
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return ID{}, newIDError(s, ErrIDVersion)
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return ID{Home: home, Created: time.UnixMilli(ms)}, nil
}

func newIDError(s string, err error) error {
	if len(s) > MaxIDBytes {
		s = s[:MaxIDBytes]
	}
	return &IDError{ID: s, Err: err}
}

// validName reports whether s has 1 to limit bytes, all of them letters, digits,
// '-', '_' or '.', and starts with a letter or digit.
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
