package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/operator"
)

// change is one difference between a directory and the configuration in force.
type change struct {
	// Action is "create", "update", "delete" or "keep". "keep" marks an object
	// that isn't in the directory and stays in force.
	Action string        `json:"action"`
	Kind   contract.Kind `json:"kind"`
	Name   string        `json:"name"`
	// Version is the offset of the version in force, 0 for none.
	Version uint64        `json:"version,omitempty"`
	Fields  []fieldChange `json:"fields,omitempty"`

	record contract.Record
}

// fieldChange is one field that differs between two versions of an object. Old
// or New is empty if that version does not have the field.
type fieldChange struct {
	// Path is the dotted path of the field.
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

func (f fieldChange) String() string {
	return fmt.Sprintf("%s: %s -> %s", f.Path, formatText(f.Old), formatText(f.New))
}

// compareWithDir returns the differences between the configuration in force and a
// directory, in an order in which each can be published. Objects that are not in
// the directory are deleted if prune is set, and kept otherwise.
func compareWithDir(listing operator.ConfigListing, dir string, prune bool) ([]change, error) {
	desired, err := loadDir(dir)
	if err != nil {
		return nil, err
	}
	current, err := contract.FromObjects(listing.Offset, listing.Objects)
	if err != nil {
		return nil, errors.Wrap(err, "decode the configuration in force")
	}
	var kept []change
	if !prune {
		kept = keptObjects(listing, desired)
		desired = mergeSets(current.ObjectSet(), desired)
	}
	records, err := contract.Diff(current, desired)
	if err != nil {
		return nil, err
	}
	values := make(map[string]contract.Object)
	for _, o := range listing.Objects {
		values[string(o.Kind)+"/"+o.Name] = o
	}
	var changes []change
	for _, r := range records {
		old := values[string(r.Kind)+"/"+r.Name]
		ch := change{Action: "update", Kind: r.Kind, Name: r.Name, Version: old.Version, record: r}
		switch {
		case r.Delete:
			ch.Action = "delete"
		case old.Version == 0:
			ch.Action = "create"
		}
		ch.Fields = fieldChanges(old.Value, r.Value)
		changes = append(changes, ch)
	}
	return append(changes, kept...), nil
}

// keptObjects returns a "keep" change for each object in force that is not in
// the desired set.
func keptObjects(listing operator.ConfigListing, desired contract.ObjectSet) []change {
	var kept []change
	for _, o := range listing.Objects {
		found := false
		switch o.Kind {
		case contract.KindProfile:
			_, found = desired.Profiles[o.Name]
		case contract.KindService:
			_, found = desired.Services[o.Name]
		case contract.KindQuota:
			_, found = desired.Quotas[o.Name]
		}
		if !found {
			kept = append(kept, change{Action: "keep", Kind: o.Kind, Name: o.Name, Version: o.Version})
		}
	}
	return kept
}

// mergeSets adds the objects of override to base, replacing those of the same
// name, and returns base.
func mergeSets(base, override contract.ObjectSet) contract.ObjectSet {
	maps.Copy(base.Profiles, override.Profiles)
	maps.Copy(base.Services, override.Services)
	maps.Copy(base.Quotas, override.Quotas)
	return base
}

// fieldChanges compares two JSON values field by field.
func fieldChanges(before, after json.RawMessage) []fieldChange {
	oldFields, newFields := flatten(before), flatten(after)
	paths := maps.Clone(oldFields)
	maps.Copy(paths, newFields)
	var out []fieldChange
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if oldFields[path] != newFields[path] {
			out = append(out, fieldChange{path, oldFields[path], newFields[path]})
		}
	}
	return out
}

// flatten returns the fields of a JSON object by dotted path. An array is one
// value, because the order of its elements matters.
func flatten(raw json.RawMessage) map[string]string {
	fields := make(map[string]string)
	var walk func(path string, raw json.RawMessage)
	walk = func(path string, raw json.RawMessage) {
		var object map[string]json.RawMessage
		if json.Unmarshal(raw, &object) == nil && object != nil {
			for key, value := range object {
				walk(strings.TrimPrefix(path+"."+key, "."), value)
			}
			return
		}
		var compact bytes.Buffer
		if json.Compact(&compact, raw) == nil && len(raw) > 0 {
			fields[path] = compact.String()
		}
	}
	walk("", raw)
	return fields
}

// countToPublish counts the changes that publish would make, which are all but
// those with the action "keep".
func countToPublish(changes []change) int {
	n := 0
	for _, ch := range changes {
		if ch.Action != "keep" {
			n++
		}
	}
	return n
}

// fields describes the changed fields in one line.
func (ch change) fields() string {
	parts := make([]string, len(ch.Fields))
	for i, f := range ch.Fields {
		parts[i] = f.String()
	}
	return strings.Join(parts, "; ")
}
