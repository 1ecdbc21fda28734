package contract

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// maxStateBytes bounds the size of a decompressed state. A configuration of the
// size for which the system is designed needs 1 MB.
const maxStateBytes = 32 << 20

// snapshotState is the content of Snapshot.State. Its encoding is canonical:
// equal configurations have equal bytes.
type snapshotState struct {
	Objects   []snapshotObject `json:"objects"`
	Published []Outcome        `json:"published"`
}

// snapshotObject is an object, present or deleted, with its newest changes.
type snapshotObject struct {
	Kind    Kind     `json:"kind"`
	Name    string   `json:"name"`
	Changes []Change `json:"changes"`
}

// Snapshot returns the whole configuration as a snapshot. Equal configurations
// return equal snapshots.
func (c *Configuration) Snapshot() Snapshot {
	s := snapshotState{Objects: []snapshotObject{}, Published: []Outcome{}}
	for o := range c.objects.all {
		s.Objects = append(s.Objects, snapshotObject{o.kind, o.name, o.changes})
	}
	slices.SortFunc(s.Objects, func(a, b snapshotObject) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	for o := range c.published.all {
		if c.inPublishWindow(o) {
			s.Published = append(s.Published, *o)
		}
	}
	slices.SortFunc(s.Published, func(a, b Outcome) int { return cmp.Compare(a.Offset, b.Offset) })
	return Snapshot{Offset: c.offset, Missed: c.missed, Bridge: c.bridge, State: compress(marshal(s))}
}

func compress(data []byte) []byte {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return buf.Bytes()
}

// Encode returns the bytes to append to the log or to send to a peer.
func (s Snapshot) Encode() []byte {
	return marshal(Envelope{Version: formatVersion, Snapshot: &s})
}

// SkipTo returns the configuration moved to an offset by skipping records that
// were dropped from the log. The result must not be put in force directly, because
// its bridge offset is known only after it was appended to the log as a snapshot
// and read back.
func (c *Configuration) SkipTo(offset uint64) *Configuration {
	next := *c
	next.offset = max(offset, c.offset)
	next.missed += next.offset - c.offset
	next.bridge = 0
	return &next
}

// DecodeSnapshot decodes a snapshot record. logOffset is the offset of the
// record in the log, 0 if it doesn't come from the log. All its errors wrap
// ErrUnreadable.
func DecodeSnapshot(logOffset uint64, data []byte) (*Configuration, error) {
	env, err := Decode(data)
	if err != nil {
		return nil, err
	}
	if env.Snapshot == nil {
		return nil, errors.WithMessage(ErrUnreadable, "not a snapshot")
	}
	if logOffset > 0 && env.Snapshot.Offset >= logOffset {
		return nil, errors.WithMessage(ErrUnreadable, "snapshot offset is not lower than the offset of its record")
	}
	return env.Snapshot.decode(logOffset)
}

// decode returns the configuration of a snapshot after checking that it is
// valid. logOffset, as in DecodeSnapshot, becomes the bridge offset if the
// snapshot has missed records and no bridge offset yet.
func (s *Snapshot) decode(logOffset uint64) (*Configuration, error) {
	gz, err := gzip.NewReader(bytes.NewReader(s.State))
	if err != nil {
		return nil, errors.WithMessage(ErrUnreadable, err.Error())
	}
	dec := json.NewDecoder(io.LimitReader(gz, maxStateBytes))
	dec.DisallowUnknownFields()
	var st snapshotState
	if err := dec.Decode(&st); err != nil {
		return nil, errors.WithMessage(ErrUnreadable, err.Error())
	}
	// Reading to the end makes gzip verify its checksum.
	if _, err := io.Copy(io.Discard, io.LimitReader(gz, maxStateBytes)); err != nil {
		return nil, errors.WithMessage(ErrUnreadable, err.Error())
	}
	c := EmptyConfiguration()
	c.offset, c.missed, c.bridge = s.Offset, s.Missed, s.Bridge
	if c.missed > 0 && c.bridge == 0 {
		c.bridge = logOffset
	}
	set := NewObjectSet()
	for _, so := range st.Objects {
		o, err := so.restore(s.Offset)
		if err != nil {
			return nil, err
		}
		if _, duplicate := c.objects.get(objectKey(o.kind, o.name)); duplicate {
			return nil, errors.WithMessagef(ErrUnreadable, "object %s occurs twice", objectKey(o.kind, o.name))
		}
		c.objects.insert(objectKey(o.kind, o.name), o)
		set.add(o)
	}
	if err := ValidateAll(set); err != nil {
		return nil, errors.WithMessage(ErrUnreadable, err.Error())
	}
	for _, o := range st.Published {
		if o.Offset > c.offset || !c.inPublishWindow(&o) {
			return nil, errors.WithMessagef(ErrUnreadable, "publish ID at offset %d is outside the publish window", o.Offset)
		}
		c.published.insert(o.PublishID, &o)
	}
	return c, nil
}

// restore checks the changes of an object, which must be ascending and not
// after maxOffset, and decodes its current value.
func (so snapshotObject) restore(maxOffset uint64) (*object, error) {
	o := &object{kind: so.Kind, name: so.Name, changes: so.Changes}
	ascending := slices.IsSortedFunc(o.changes, func(a, b Change) int { return cmp.Compare(a.Offset, b.Offset) })
	if len(o.changes) == 0 || len(o.changes) > maxHistory || !ascending || o.lastChange().Offset > maxOffset {
		return nil, errors.WithMessagef(ErrUnreadable, "invalid change history of %s", objectKey(so.Kind, so.Name))
	}
	if !o.lastChange().Deleted() {
		c := &checker{object: objectKey(so.Kind, so.Name)}
		if o.parsedValue = c.parseValue(so.Kind, o.lastChange().Value); len(c.fields) > 0 {
			return nil, errors.WithMessage(ErrUnreadable, c.err().Error())
		}
	}
	return o, nil
}
