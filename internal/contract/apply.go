package contract

import (
	"encoding/json"
	"fmt"
)

// Status is the result of applying a log record.
type Status string

// Statuses of log records.
const (
	// StatusAccepted means that the record changed its object.
	StatusAccepted Status = "accepted"
	// StatusLostRace means that the object's version differs from the record's
	// BasedOn, usually because another record changed the object first.
	StatusLostRace Status = "lost_race"
	// StatusInvalid means that the record is not allowed in the configuration
	// to which it is applied.
	StatusInvalid Status = "invalid"
	// StatusSnapshot means that the record is a snapshot that changes nothing.
	StatusSnapshot Status = "snapshot"
	// StatusSuperseded means that the configuration is superseded: the record is
	// a snapshot that takes precedence over it, see Result.Base.
	StatusSuperseded Status = "superseded"
	// StatusUnreadable means that the record cannot be decoded or is a snapshot
	// that is not valid at its offset.
	StatusUnreadable Status = "unreadable"
	// StatusOutOfOrder means that the offset doesn't directly follow the
	// configuration's offset. Nothing was applied.
	StatusOutOfOrder Status = "out_of_order"
)

// Outcome is the result of a publish. It is stored with the configuration, so
// that repetitions of the publish get the same result.
type Outcome struct {
	PublishID string `json:"publish_id"`
	Status    Status `json:"status"`
	// Offset is the offset of the first record with this publish ID.
	Offset uint64 `json:"offset"`
	// Digest is a hash of the record's content.
	Digest string `json:"digest"`
	// WinnerOffset and WinnerAuthor identify the change that won a lost race; 0
	// if the object has never existed or its history is no longer kept.
	WinnerOffset uint64 `json:"winner_offset,omitempty"`
	WinnerAuthor string `json:"winner_author,omitempty"`
	// Fields are the field errors of an invalid record, at most 8.
	Fields []FieldError `json:"fields,omitempty"`
}

// Result is the result of applying one log record.
type Result struct {
	Outcome
	// Duplicate is set if the publish ID was seen before. The other fields are
	// then those of the first record with that ID, except that a record with
	// another content is StatusInvalid.
	Duplicate bool
	// Base is set if the record is a snapshot of a divergent history that takes
	// precedence. It is the decoded snapshot, to which the records after
	// Base.Offset() have to be applied.
	Base *Configuration
	// LowerPrecedence is set if the record is a snapshot of a divergent history
	// over which the configuration takes precedence.
	LowerPrecedence bool
}

// Apply applies the log record at an offset to the configuration. It is
// deterministic and never fails: an unusable record changes only the offset
// and, if it is a rejected publish with a valid ID, the stored outcomes. If
// offset isn't c.Offset()+1, next is c itself.
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
		c.applySnapshot(offset, env.Snapshot, &result)
	default:
		next.applyPublish(*env.Publish, &result)
	}
	return next, result
}

// applySnapshot compares a snapshot record in the log with c and sets the
// result. It does not change c.
func (c *Configuration) applySnapshot(offset uint64, s *Snapshot, result *Result) {
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

// applyPublish applies a publish to c, whose offset is already that of the
// record.
func (c *Configuration) applyPublish(r Record, result *Result) {
	digest := r.digest()
	if first, ok := c.Published(r.PublishID); ok {
		result.Duplicate = true
		if result.Outcome = first; first.Digest != digest {
			result.Status, result.Fields = StatusInvalid, []FieldError{ReusedIDError(r)}
		}
		return
	}
	result.PublishID, result.Digest = r.PublishID, digest
	v, check := r.parseAndCheck()
	if len(r.PublishID) > maxIDBytes || !idPattern.MatchString(r.PublishID) {
		result.Status, result.Fields = StatusInvalid, check.fields
		return
	}
	switch current := c.Version(r.Kind, r.Name); {
	case r.BasedOn != current:
		result.Status = StatusLostRace
		if o, ok := c.objects.get(objectKey(r.Kind, r.Name)); ok {
			result.WinnerOffset, result.WinnerAuthor = o.lastChange().Offset, o.lastChange().Author
		}
	case !c.checkAgainst(r, v, check):
		result.Status, result.Fields = StatusInvalid, check.fields
		result.Fields = result.Fields[:min(len(result.Fields), maxOutcomeFields)]
	default:
		result.Status = StatusAccepted
		c.storeChange(r, v)
	}
	outcome := result.Outcome
	c.published = c.published.with(r.PublishID, &outcome, c.inPublishWindow)
}

// Matches reports whether the outcome belongs to a record with the content of
// r.
func (o Outcome) Matches(r Record) bool {
	return (len(r.Value) == 0 || json.Valid(r.Value)) && o.Digest == r.digest()
}

// ReusedIDError returns the field error of a record whose publish ID was
// already used by another record.
func ReusedIDError(r Record) FieldError {
	return FieldError{Object: objectKey(r.Kind, r.Name), Path: "publish_id", Value: r.PublishID,
		Allowed: "an ID that no other record has used"}
}

// Check returns everything that makes a record invalid in this configuration,
// as *ValidationError. It checks PublishID, Author and Comment too, but not
// BasedOn.
func (c *Configuration) Check(r Record) error {
	v, check := r.parseAndCheck()
	c.checkAgainst(r, v, check)
	return check.err()
}

// checkAgainst adds the checks that depend on other objects of the
// configuration to those of parseAndCheck, and reports whether the record is
// valid.
func (c *Configuration) checkAgainst(r Record, v parsedValue, check *checker) bool {
	switch {
	case r.Delete:
		if c.Version(r.Kind, r.Name) == 0 {
			check.addError("delete", "true", "the name of an existing object")
		}
		if r.Kind == KindProfile {
			for o := range c.objects.all {
				if o.kind == KindService && !o.lastChange().Deleted() && o.service.Profile == r.Name {
					check.addError("delete", fmt.Sprintf("true, but %s names it", objectKey(o.kind, o.name)),
						"a profile that no service names")
					break
				}
			}
		}
	case v.profile != nil:
		sum := v.profile.Queue.GuaranteedPercent
		for o := range c.objects.all {
			if o.kind == KindProfile && o.name != r.Name && !o.lastChange().Deleted() {
				sum += o.profile.Queue.GuaranteedPercent
			}
		}
		check.checkGuaranteedSum(sum)
	case v.service != nil:
		_, ok := c.find(KindProfile, v.service.Profile)
		check.checkProfileExists(v.service.Profile, ok)
	}
	check.fields = firstErrorPerPath(check.fields)
	return len(check.fields) == 0
}

// storeChange stores a valid record as the object's newest change.
func (c *Configuration) storeChange(r Record, v parsedValue) {
	o := &object{kind: r.Kind, name: r.Name, parsedValue: v}
	if old, ok := c.objects.get(objectKey(r.Kind, r.Name)); ok {
		o.changes = append(o.changes, old.changes[max(0, len(old.changes)-maxHistory+1):]...)
	}
	o.changes = append(o.changes, Change{c.offset, r.PublishID, r.Author, r.Comment, v.canonical})
	c.objects = c.objects.with(objectKey(r.Kind, r.Name), o, nil)
	if r.Delete {
		c.evictOldestDeleted()
	}
}

// evictOldestDeleted removes the object that was deleted longest ago if more than
// maxDeleted are kept.
func (c *Configuration) evictOldestDeleted() {
	var oldest *object
	count := 0
	for o := range c.objects.all {
		if o.lastChange().Deleted() {
			count++
			if oldest == nil || o.lastChange().Offset < oldest.lastChange().Offset {
				oldest = o
			}
		}
	}
	if count > maxDeleted {
		c.objects = c.objects.without(objectKey(oldest.kind, oldest.name), nil)
	}
}
