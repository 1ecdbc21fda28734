package contract

import (
	"encoding/json"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ObjectSet holds configuration objects by name, as they are kept in version
// control.
type ObjectSet struct {
	Profiles map[string]Profile
	Services map[string]Service
	// Quotas holds the quotas by team.
	Quotas map[string]Quota
}

// NewObjectSet returns an empty set.
func NewObjectSet() ObjectSet {
	return ObjectSet{map[string]Profile{}, map[string]Service{}, map[string]Quota{}}
}

func (s ObjectSet) add(o *object) {
	switch {
	case o.profile != nil:
		s.Profiles[o.name] = *o.profile
	case o.service != nil:
		s.Services[o.name] = *o.service
	case o.quota != nil:
		s.Quotas[o.name] = *o.quota
	}
}

// ObjectSet returns the current objects of the configuration as a set.
func (c *Configuration) ObjectSet() ObjectSet {
	s := NewObjectSet()
	for o := range c.objects.all {
		if !o.lastChange().Deleted() {
			s.add(o)
		}
	}
	return s
}

// records returns the set as records without BasedOn: profiles first, then
// services and quotas, each sorted by name.
func (s ObjectSet) records() []Record {
	var list []Record
	for _, name := range slices.Sorted(maps.Keys(s.Profiles)) {
		list = append(list, Record{Kind: KindProfile, Name: name, Value: marshal(s.Profiles[name])})
	}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		list = append(list, Record{Kind: KindService, Name: name, Value: marshal(s.Services[name])})
	}
	for _, name := range slices.Sorted(maps.Keys(s.Quotas)) {
		list = append(list, Record{Kind: KindQuota, Name: name, Value: marshal(s.Quotas[name])})
	}
	return list
}

// ValidateAll returns everything that is wrong with a set, as *ValidationError
// with an entry for each field.
func ValidateAll(s ObjectSet) error {
	return validateRecords(s, s.records())
}

// validateRecords checks the records of a set s, including their references to
// objects in s.
func validateRecords(s ObjectSet, records []Record) error {
	allErrors := checker{}
	guaranteedSum := 0
	for _, r := range records {
		r.PublishID = "validate"
		v, c := r.parseAndCheck()
		if v.service != nil {
			_, ok := s.Profiles[v.service.Profile]
			c.checkProfileExists(v.service.Profile, ok)
		}
		if v.profile != nil {
			guaranteedSum += v.profile.Queue.GuaranteedPercent
		}
		allErrors.fields = append(allErrors.fields, firstErrorPerPath(c.fields)...)
	}
	allErrors.object = "profile/*"
	allErrors.checkGuaranteedSum(guaranteedSum)
	return allErrors.err()
}

// LoadDir reads profiles/*.json, services/*.json and quotas/*.json below dir.
// An object's name is its file name without ".json". A directory that doesn't
// exist counts as empty. It returns *ValidationError with all field errors of
// all files, or a file system error.
func LoadDir(dir string) (ObjectSet, error) {
	s := NewObjectSet()
	var records []Record
	for _, kind := range []Kind{KindProfile, KindService, KindQuota} {
		sub := filepath.Join(dir, string(kind)+"s")
		entries, err := os.ReadDir(sub)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return ObjectSet{}, errors.WithStack(err)
		}
		for _, entry := range entries {
			name, isJSON := strings.CutSuffix(entry.Name(), ".json")
			if !isJSON || entry.IsDir() {
				continue
			}
			raw, err := os.ReadFile(filepath.Join(sub, entry.Name()))
			if err != nil {
				return ObjectSet{}, errors.WithStack(err)
			}
			r := Record{Kind: kind, Name: name, Value: raw}
			records = append(records, r)
			v := (&checker{}).parseValue(kind, raw)
			s.add(&object{name: name, parsedValue: v})
		}
	}
	if err := validateRecords(s, records); err != nil {
		return ObjectSet{}, err
	}
	return s, nil
}

// Diff returns the records that change the configuration into the desired set,
// in an order in which each is valid when it is published. It leaves author,
// comment and publish ID empty. It returns *ValidationError if desired is
// invalid or if no order of single changes leads to it.
func Diff(c *Configuration, desired ObjectSet) ([]Record, error) {
	if err := ValidateAll(desired); err != nil {
		return nil, err
	}
	var pending []Record
	desiredKeys := map[string]bool{}
	for _, r := range desired.records() {
		desiredKeys[objectKey(r.Kind, r.Name)] = true
		r.BasedOn = c.Version(r.Kind, r.Name)
		if o, ok := c.find(r.Kind, r.Name); !ok || !sameValue(o.parsedValue, r) {
			pending = append(pending, r)
		}
	}
	for _, o := range slices.Backward(c.List("")) {
		if !desiredKeys[objectKey(o.Kind, o.Name)] {
			pending = append(pending, Record{Kind: o.Kind, Name: o.Name, BasedOn: o.Version, Delete: true})
		}
	}
	return orderRecords(c, pending)
}

// sameValue reports whether a record's value equals v after defaults are filled
// in.
func sameValue(v parsedValue, r Record) bool {
	other := (&checker{}).parseValue(r.Kind, r.Value)
	other.canonical, v.canonical = json.RawMessage{}, json.RawMessage{}
	return reflect.DeepEqual(v, other)
}

// orderRecords returns pending in an order in which each record is valid. It
// repeatedly applies every record that is valid at that point to a copy of c,
// until none is left. It returns the field errors of the others if none of them
// is valid.
func orderRecords(c *Configuration, pending []Record) ([]Record, error) {
	var ordered []Record
	simulated := *c
	for len(pending) > 0 {
		var blocked []Record
		var blockedErrors checker
		for _, r := range pending {
			r.PublishID = "diff"
			v, check := r.parseAndCheck()
			if !simulated.checkAgainst(r, v, check) {
				r.PublishID = ""
				blocked = append(blocked, r)
				blockedErrors.fields = append(blockedErrors.fields, check.fields...)
				continue
			}
			simulated.offset++
			simulated.storeChange(r, v)
			r.PublishID = ""
			ordered = append(ordered, r)
		}
		if len(blocked) == len(pending) {
			return nil, blockedErrors.err()
		}
		pending = blocked
	}
	return ordered, nil
}
