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
	// Action is "create", "update", "delete" or, for an object that isn't in
	// the directory and is not to be deleted, "keep".
	Action string        `json:"action"`
	Kind   contract.Kind `json:"kind"`
	Name   string        `json:"name"`
	// Version is the offset of the version in force, 0 for none.
	Version uint64        `json:"version,omitempty"`
	Fields  []fieldChange `json:"fields,omitempty"`

	record contract.Record
}

// fieldChange is one field that differs; an absent value is empty.
type fieldChange struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

func (f fieldChange) String() string {
	return fmt.Sprintf("%s: %s -> %s", f.Path, printable(f.Old), printable(f.New))
}

// compare returns the differences between the configuration in force and a
// directory, in an order in which each can be published. Without remove,
// objects that are not in the directory are kept.
func compare(listing operator.ConfigListing, dir string, remove bool) ([]change, error) {
	desired, err := loadDir(dir)
	if err != nil {
		return nil, err
	}
	current, err := contract.FromObjects(listing.Offset, listing.Objects)
	if err != nil {
		return nil, errors.Wrap(err, "configuration in force")
	}
	var kept []change
	if !remove {
		kept = keep(listing, desired)
		desired = merge(current.ObjectSet(), desired)
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

// keep lists the objects in force that are not in the desired set.
func keep(listing operator.ConfigListing, desired contract.ObjectSet) []change {
	var kept []change
	for _, o := range listing.Objects {
		wanted := false
		switch o.Kind {
		case contract.KindProfile:
			_, wanted = desired.Profiles[o.Name]
		case contract.KindService:
			_, wanted = desired.Services[o.Name]
		case contract.KindQuota:
			_, wanted = desired.Quotas[o.Name]
		}
		if !wanted {
			kept = append(kept, change{Action: "keep", Kind: o.Kind, Name: o.Name, Version: o.Version})
		}
	}
	return kept
}

// merge returns the objects of both sets; those of over take precedence.
func merge(base, over contract.ObjectSet) contract.ObjectSet {
	maps.Copy(base.Profiles, over.Profiles)
	maps.Copy(base.Services, over.Services)
	maps.Copy(base.Quotas, over.Quotas)
	return base
}

// fieldChanges compares two JSON values field by field.
func fieldChanges(before, after json.RawMessage) []fieldChange {
	was, is := flatten(before), flatten(after)
	paths := maps.Clone(was)
	maps.Copy(paths, is)
	var out []fieldChange
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if was[path] != is[path] {
			out = append(out, fieldChange{path, was[path], is[path]})
		}
	}
	return out
}

// flatten returns the fields of a JSON object with dotted paths. Arrays stay
// whole, because their order has a meaning.
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

// pending counts the changes that a publish would make.
func pending(changes []change) int {
	n := 0
	for _, ch := range changes {
		if ch.Action != "keep" {
			n++
		}
	}
	return n
}

func (ch change) fields() string {
	parts := make([]string, len(ch.Fields))
	for i, f := range ch.Fields {
		parts[i] = f.String()
	}
	return strings.Join(parts, "; ")
}
