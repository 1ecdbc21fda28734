package contract

import (
	"encoding/json"
	"fmt"
)

// Status is what became of a log record in the fold.
type Status string

// Statuses of log records.
const (
	// StatusAccepted means that the record changed its object.
	StatusAccepted Status = "accepted"
	// StatusLostRace means that the object's version was no longer BasedOn.
	StatusLostRace Status = "lost_race"
	// StatusInvalid means that the value isn't allowed at this point.
	StatusInvalid Status = "invalid"
	// StatusSnapshot means that the record is a snapshot that adds nothing.
	StatusSnapshot Status = "snapshot"
	// StatusSuperseded means that the record is a snapshot that takes
	// precedence over the configuration: see Result.Base.
	StatusSuperseded Status = "superseded"
	// StatusUnreadable means that the record has an unknown format.
	StatusUnreadable Status = "unreadable"
	// StatusOutOfOrder means that the offset doesn't follow the
	// configuration's offset; nothing was applied.
	StatusOutOfOrder Status = "out_of_order"
)

// Outcome is the lasting result of a publish.
type Outcome struct {
	PublishID string `json:"publish_id"`
	Status    Status `json:"status"`
	// Offset is the offset of the first record with this publish ID.
	Offset uint64 `json:"offset"`
	// Digest identifies the record's content.
	Digest string `json:"digest"`
	// WinnerOffset and WinnerAuthor name the change that a lost race lost to;
	// 0 if the object has never existed or its deletion is forgotten.
	WinnerOffset uint64 `json:"winner_offset,omitempty"`
	WinnerAuthor string `json:"winner_author,omitempty"`
	// Fields are the field errors of an invalid record, at most 8.
	Fields []FieldError `json:"fields,omitempty"`
}

// Result is the result of applying one log record.
type Result struct {
	Outcome
	// Duplicate is set if the publish ID was seen before. The other fields
	// are those of the first record with that ID.
	Duplicate bool
	// Base is set if the record is a snapshot of another history that takes
	// precedence. The records after Base.Offset() have to be applied to it.
	Base *Configuration
	// LowerPrecedence is set if the record is a snapshot of another history over which
	// the configuration takes precedence.
	LowerPrecedence bool
}

// Apply folds the log record at an offset into the configuration. It is
// deterministic and never fails: a record that can't be used is void, and next
// then differs from c only in its offset. If offset isn't c.Offset()+1, next
// is c itself.
func (c *Configuration) Apply(offset uint64, data []byte) (next *Configuration, result Result) {
	result.Offset = offset
	if offset != c.offset+1 {
		result.Status = StatusOutOfOrder
		return c, result
	}
	copied := *c
	next = &copied
	next.offset = offset
	env, err := Decode(data)
	switch {
	case err != nil:
		result.Status = StatusUnreadable
	case env.Snapshot != nil:
		c.meet(offset, env.Snapshot, &result)
	default:
		next.publish(*env.Publish, &result)
	}
	return next, result
}

// meet handles a snapshot record in the log.
func (c *Configuration) meet(offset uint64, s *Snapshot, result *Result) {
	result.Status = StatusSnapshot
	if s.Offset >= offset {
		result.Status = StatusUnreadable
		return
	}
	other := &Configuration{missed: s.Missed, bridge: s.Bridge}
	if other.missed > 0 && other.bridge == 0 {
		other.bridge = offset
	}
	result.LowerPrecedence = c.TakesPrecedenceOver(other)
	if !other.TakesPrecedenceOver(c) {
		return
	}
	base, err := s.decode(offset)
	if err != nil {
		result.Status = StatusUnreadable
		return
	}
	result.Status, result.Base = StatusSuperseded, base
}

// publish folds a publish into c, whose offset is that of the record.
func (c *Configuration) publish(r Record, result *Result) {
	digest := r.digest()
	if first, ok := c.Published(r.PublishID); ok {
		result.Duplicate = true
		if result.Outcome = first; first.Digest != digest {
			result.Status, result.Fields = StatusInvalid, []FieldError{ReusedIDError(r)}
		}
		return
	}
	result.PublishID, result.Digest = r.PublishID, digest
	v, check := r.check()
	if len(r.PublishID) > maxIDBytes || !idPattern.MatchString(r.PublishID) {
		result.Status, result.Fields = StatusInvalid, check.fields
		return
	}
	switch current := c.Version(r.Kind, r.Name); {
	case r.BasedOn != current:
		result.Status = StatusLostRace
		if o, ok := c.objects.get(key(r.Kind, r.Name)); ok {
			result.WinnerOffset, result.WinnerAuthor = o.last().Offset, o.last().Author
		}
	case !c.fits(r, v, check):
		result.Status, result.Fields = StatusInvalid, check.fields
		result.Fields = result.Fields[:min(len(result.Fields), maxOutcomeFields)]
	default:
		result.Status = StatusAccepted
		c.set(r, v)
	}
	outcome := result.Outcome
	c.published = c.published.with(r.PublishID, &outcome, c.remembers)
}

// Matches reports whether the outcome is that of a record with the content of r.
func (o Outcome) Matches(r Record) bool {
	return (len(r.Value) == 0 || json.Valid(r.Value)) && o.Digest == r.digest()
}

// ReusedIDError returns the field error of a record whose publish ID was used by
// another record.
func ReusedIDError(r Record) FieldError {
	return FieldError{Object: key(r.Kind, r.Name), Path: "publish_id", Value: r.PublishID,
		Allowed: "an ID that no other record has used"}
}

// Check reports everything that makes a record invalid against the
// configuration, as *ValidationError. It includes PublishID, Author and
// Comment but not BasedOn.
func (c *Configuration) Check(r Record) error {
	v, check := r.check()
	c.fits(r, v, check)
	return check.err()
}

// fits completes the check of a record with its surroundings.
func (c *Configuration) fits(r Record, v value, check *checker) bool {
	switch {
	case r.Delete:
		if c.Version(r.Kind, r.Name) == 0 {
			check.add("delete", "true", "the name of an existing object")
		}
		if r.Kind == KindProfile {
			for o := range c.objects.all {
				if o.kind == KindService && !o.last().Deleted() && o.service.Profile == r.Name {
					check.add("delete", fmt.Sprintf("true, but %s names it", key(o.kind, o.name)),
						"a profile that no service names")
					break
				}
			}
		}
	case v.profile != nil:
		sum := v.profile.Queue.GuaranteedPercent
		for o := range c.objects.all {
			if o.kind == KindProfile && o.name != r.Name && !o.last().Deleted() {
				sum += o.profile.Queue.GuaranteedPercent
			}
		}
		check.guaranteed(sum)
	case v.service != nil:
		_, ok := c.find(KindProfile, v.service.Profile)
		check.profileExists(v.service.Profile, ok)
	}
	check.fields = oneByPath(check.fields)
	return len(check.fields) == 0
}

// set stores a checked record as the object's newest change.
func (c *Configuration) set(r Record, v value) {
	o := &object{kind: r.Kind, name: r.Name, value: v}
	if old, ok := c.objects.get(key(r.Kind, r.Name)); ok {
		o.changes = append(o.changes, old.changes[max(0, len(old.changes)-maxHistory+1):]...)
	}
	o.changes = append(o.changes, Change{c.offset, r.PublishID, r.Author, r.Comment, v.canonical})
	c.objects = c.objects.with(key(r.Kind, r.Name), o, nil)
	if r.Delete {
		c.forgetDeleted()
	}
}

// forgetDeleted removes the object that was deleted longest ago if more than
// maxDeleted are kept.
func (c *Configuration) forgetDeleted() {
	var oldest *object
	count := 0
	for o := range c.objects.all {
		if o.last().Deleted() {
			count++
			if oldest == nil || o.last().Offset < oldest.last().Offset {
				oldest = o
			}
		}
	}
	if count > maxDeleted {
		c.objects = c.objects.without(key(oldest.kind, oldest.name), nil)
	}
}
