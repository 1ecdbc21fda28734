package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// formatVersion is the version of the log records. A change of the checks
// changes what old records mean and needs a new version.
const formatVersion = 1

// ErrUnreadable means that bytes are not an encoded record or snapshot.
var ErrUnreadable = errors.New("not a configuration record")

// Record is one publish: it sets or deletes one object.
type Record struct {
	// PublishID identifies the publish over all its repetitions: 1 to 64
	// letters, digits and ".:/_-".
	PublishID string `json:"publish_id"`
	Kind      Kind   `json:"kind"`
	Name      string `json:"name"`
	// BasedOn is the version (offset) that this record replaces, 0 for none.
	BasedOn uint64 `json:"based_on"`
	// Value is the JSON of a Profile, Service or Quota of up to 16 KiB; empty
	// in a delete.
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
	// Author names the operator: up to 128 bytes.
	Author string `json:"author"`
	// Comment gives the reason: up to 1,024 bytes.
	Comment string `json:"comment,omitempty"`
}

// Snapshot is the fold of the log up to an offset.
type Snapshot struct {
	Offset uint64 `json:"offset"`
	// Missed counts the records before Offset that were dropped from the log
	// before any reachable host had read them.
	Missed uint64 `json:"missed,omitempty"`
	// Bridge is the offset of the snapshot record that passed over them.
	Bridge uint64 `json:"bridge,omitempty"`
	// State is the gzip-compressed JSON of all objects and publish IDs.
	State []byte `json:"state"`
}

// Envelope is the content of a log record: exactly one part is set.
type Envelope struct {
	Version  int       `json:"version"`
	Publish  *Record   `json:"publish,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Encode returns the bytes to append to the log. It fails with ErrUnreadable
// if Value isn't JSON.
func (r Record) Encode() ([]byte, error) {
	if len(r.Value) > 0 && !json.Valid(r.Value) {
		return nil, errors.WithMessage(ErrUnreadable, "value is not JSON")
	}
	return json.Marshal(Envelope{Version: formatVersion, Publish: &r})
}

// Decode reads the bytes of a log record. It fails with ErrUnreadable.
func Decode(data []byte) (Envelope, error) {
	var env Envelope
	c := checker{object: "record"}
	c.decode(data, &env)
	switch {
	case len(c.fields) > 0:
		return Envelope{}, errors.WithMessage(ErrUnreadable, c.fields[0].Error())
	case env.Version != formatVersion:
		return Envelope{}, errors.WithMessagef(ErrUnreadable, "version %d", env.Version)
	case (env.Publish == nil) == (env.Snapshot == nil):
		return Envelope{}, errors.WithMessage(ErrUnreadable, "needs either publish or snapshot")
	}
	return env, nil
}

// digest identifies the content of a record, so that another record under the
// same publish ID isn't taken for a repetition.
func (r Record) digest() string {
	sum := sha256.Sum256(marshal(r))
	return hex.EncodeToString(sum[:8])
}

// check reports all that is wrong with the record by itself.
func (r Record) check() (value, *checker) {
	c := &checker{object: key(r.Kind, r.Name)}
	var v value
	if r.Delete {
		choice(c, "kind", r.Kind, KindProfile, KindService, KindQuota)
		if len(r.Value) > 0 {
			c.add("value", string(r.Value), "no value in a delete")
		}
	} else {
		v = c.parse(r.Kind, r.Value)
	}
	c.name("name", r.Name)
	if len(r.PublishID) > maxIDBytes || !idPattern.MatchString(r.PublishID) {
		c.add("publish_id", fmt.Sprintf("%q", r.PublishID), "1 to 64 letters, digits and .:/_-")
	}
	c.text("author", r.Author, maxAuthor)
	c.text("comment", r.Comment, maxComment)
	return v, c
}
