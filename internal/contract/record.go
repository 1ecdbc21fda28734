package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// formatVersion is the version of the log record format. A change of the checks
// changes the result of applying old records, so it needs a new version too.
const formatVersion = 1

// ErrUnreadable means that data could not be decoded as a record or snapshot,
// or not encoded as a record.
var ErrUnreadable = errors.New("not a configuration record")

// Record is a publish that sets or deletes one object.
type Record struct {
	// PublishID identifies the publish and all its repetitions: 1 to 64
	// letters, digits and ".:/_-".
	PublishID string `json:"publish_id"`
	Kind      Kind   `json:"kind"`
	Name      string `json:"name"`
	// BasedOn is the version (log offset) of the object that this record
	// replaces, 0 if the object is new.
	BasedOn uint64 `json:"based_on"`
	// Value is the JSON encoding of a Profile, Service or Quota, up to 16 KiB;
	// empty if Delete is set.
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
	// Author is the name of the operator: up to 128 bytes.
	Author string `json:"author"`
	// Comment is the reason for the change: up to 1,024 bytes.
	Comment string `json:"comment,omitempty"`
}

// Snapshot is the configuration that results from the log records up to an
// offset.
type Snapshot struct {
	Offset uint64 `json:"offset"`
	// Missed counts the records before Offset that were dropped from the log
	// before any reachable host had read them.
	Missed uint64 `json:"missed,omitempty"`
	// Bridge is the offset of the snapshot record that bridged the gap left by
	// the missed records. It is 0 until that record is read from the log, which
	// determines its offset.
	Bridge uint64 `json:"bridge,omitempty"`
	// State is the gzip-compressed JSON encoding of all objects and publish
	// IDs.
	State []byte `json:"state"`
}

// Envelope is the format of a log record: exactly one of Publish and Snapshot
// is set.
type Envelope struct {
	Version  int       `json:"version"`
	Publish  *Record   `json:"publish,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Encode returns the bytes to append to the log. It fails with ErrUnreadable if
// Value isn't valid JSON.
func (r Record) Encode() ([]byte, error) {
	if len(r.Value) > 0 && !json.Valid(r.Value) {
		return nil, errors.WithMessage(ErrUnreadable, "value is not JSON")
	}
	return json.Marshal(Envelope{Version: formatVersion, Publish: &r})
}

// Decode decodes a log record. All its errors wrap ErrUnreadable.
func Decode(data []byte) (Envelope, error) {
	var env Envelope
	c := checker{object: "record"}
	c.decode(data, &env)
	switch {
	case len(c.fields) > 0:
		return Envelope{}, errors.WithMessage(ErrUnreadable, c.fields[0].Error())
	case env.Version != formatVersion:
		return Envelope{}, errors.WithMessagef(ErrUnreadable, "unsupported format version %d", env.Version)
	case (env.Publish == nil) == (env.Snapshot == nil):
		return Envelope{}, errors.WithMessage(ErrUnreadable, "must contain exactly one of publish and snapshot")
	}
	return env, nil
}

// digest returns a hash of the record's content, which tells a repetition from
// another record with the same publish ID.
func (r Record) digest() string {
	sum := sha256.Sum256(marshal(r))
	return hex.EncodeToString(sum[:8])
}

// parseAndCheck decodes the record's value and collects all errors of the
// record itself, without those that depend on other objects.
func (r Record) parseAndCheck() (parsedValue, *checker) {
	c := &checker{object: objectKey(r.Kind, r.Name)}
	var v parsedValue
	if r.Delete {
		checkEnum(c, "kind", r.Kind, KindProfile, KindService, KindQuota)
		if len(r.Value) > 0 {
			c.addError("value", string(r.Value), "no value in a delete")
		}
	} else {
		v = c.parseValue(r.Kind, r.Value)
	}
	c.checkName("name", r.Name)
	if len(r.PublishID) > maxIDBytes || !idPattern.MatchString(r.PublishID) {
		c.addError("publish_id", fmt.Sprintf("%q", r.PublishID), "1 to 64 letters, digits and .:/_-")
	}
	c.checkText("author", r.Author, maxAuthorBytes)
	c.checkText("comment", r.Comment, maxCommentBytes)
	return v, c
}
