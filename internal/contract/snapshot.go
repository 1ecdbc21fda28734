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

// maxStateBytes bounds a decompressed state. The design size needs 1 MB.
const maxStateBytes = 32 << 20

// state is the content of a snapshot. Its encoding is canonical: equal
// configurations have equal bytes.
type state struct {
	Objects   []stateObject `json:"objects"`
	Published []Outcome     `json:"published"`
}

type stateObject struct {
	Kind    Kind     `json:"kind"`
	Name    string   `json:"name"`
	Changes []Change `json:"changes"`
}

// Snapshot returns the whole configuration as a snapshot. Equal
// configurations give equal snapshots.
func (c *Configuration) Snapshot() Snapshot {
	s := state{Objects: []stateObject{}, Published: []Outcome{}}
	for o := range c.objects.all {
		s.Objects = append(s.Objects, stateObject{o.kind, o.name, o.changes})
	}
	slices.SortFunc(s.Objects, func(a, b stateObject) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	for o := range c.published.all {
		if c.remembers(o) {
			s.Published = append(s.Published, *o)
		}
	}
	slices.SortFunc(s.Published, func(a, b Outcome) int { return cmp.Compare(a.Offset, b.Offset) })
	return Snapshot{Offset: c.offset, Missed: c.missed, Bridge: c.bridge, State: compress(marshal(s))}
}

func compress(data []byte) []byte {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	// Writes to a buffer don't fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return buf.Bytes()
}

// Encode returns the bytes to append to the log or to send to a neighbour.
func (s Snapshot) Encode() []byte {
	return marshal(Envelope{Version: formatVersion, Snapshot: &s})
}

// SkipTo returns the configuration for an offset that is reached by passing
// over dropped records. It is only to be written to the log as a snapshot,
// and to be used as it is read back from there.
func (c *Configuration) SkipTo(offset uint64) *Configuration {
	next := *c
	next.offset = max(offset, c.offset)
	next.missed += next.offset - c.offset
	next.bridge = 0
	return &next
}

// DecodeSnapshot reads an encoded snapshot. It fails with ErrUnreadable. at is
// the log offset from which the bytes come, 0 if they don't come from the log.
func DecodeSnapshot(at uint64, data []byte) (*Configuration, error) {
	env, err := Decode(data)
	if err != nil {
		return nil, err
	}
	if env.Snapshot == nil {
		return nil, errors.WithMessage(ErrUnreadable, "not a snapshot")
	}
	if at > 0 && env.Snapshot.Offset >= at {
		return nil, errors.WithMessage(ErrUnreadable, "snapshot of records that come after it")
	}
	return env.Snapshot.decode(at)
}

func (s *Snapshot) decode(at uint64) (*Configuration, error) {
	unzip, err := gzip.NewReader(bytes.NewReader(s.State))
	if err != nil {
		return nil, errors.WithMessage(ErrUnreadable, err.Error())
	}
	dec := json.NewDecoder(io.LimitReader(unzip, maxStateBytes))
	dec.DisallowUnknownFields()
	var st state
	if err := dec.Decode(&st); err != nil {
		return nil, errors.WithMessage(ErrUnreadable, err.Error())
	}
	// Reading on to the end makes gzip compare its checksum.
	if _, err := io.Copy(io.Discard, io.LimitReader(unzip, maxStateBytes)); err != nil {
		return nil, errors.WithMessage(ErrUnreadable, err.Error())
	}
	c := EmptyConfiguration()
	c.offset, c.missed, c.bridge = s.Offset, s.Missed, s.Bridge
	if c.missed > 0 && c.bridge == 0 {
		c.bridge = at
	}
	set := NewObjectSet()
	for _, so := range st.Objects {
		o, err := so.restore(s.Offset)
		if err != nil {
			return nil, err
		}
		if _, again := c.objects.get(key(o.kind, o.name)); again {
			return nil, errors.WithMessagef(ErrUnreadable, "%s is repeated", key(o.kind, o.name))
		}
		c.objects.insert(key(o.kind, o.name), o)
		set.add(o)
	}
	if err := ValidateAll(set); err != nil {
		return nil, errors.WithMessage(ErrUnreadable, err.Error())
	}
	for _, o := range st.Published {
		if o.Offset > c.offset || !c.remembers(&o) {
			return nil, errors.WithMessagef(ErrUnreadable, "publish ID at offset %d", o.Offset)
		}
		c.published.insert(o.PublishID, &o)
	}
	return c, nil
}

func (so stateObject) restore(limit uint64) (*object, error) {
	o := &object{kind: so.Kind, name: so.Name, changes: so.Changes}
	rising := slices.IsSortedFunc(o.changes, func(a, b Change) int { return cmp.Compare(a.Offset, b.Offset) })
	if len(o.changes) == 0 || len(o.changes) > maxHistory || !rising || o.last().Offset > limit {
		return nil, errors.WithMessagef(ErrUnreadable, "history of %s", key(so.Kind, so.Name))
	}
	if !o.last().Deleted() {
		c := &checker{object: key(so.Kind, so.Name)}
		if o.value = c.parse(so.Kind, o.last().Value); len(c.fields) > 0 {
			return nil, errors.WithMessage(ErrUnreadable, c.err().Error())
		}
	}
	return o, nil
}
