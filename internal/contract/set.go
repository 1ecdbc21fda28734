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

// ObjectSet is a set of objects by name, as kept in version control.
type ObjectSet struct {
	Profiles map[string]Profile
	Services map[string]Service
	// Quotas are by team.
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

// ObjectSet returns all objects of the configuration.
func (c *Configuration) ObjectSet() ObjectSet {
	s := NewObjectSet()
	for o := range c.objects.all {
		if !o.last().Deleted() {
			s.add(o)
		}
	}
	return s
}

// desired returns the set as records without BasedOn, profiles first and
// sorted by name.
func (s ObjectSet) desired() []Record {
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

// ValidateAll reports everything that is wrong with a set, as
// *ValidationError with an entry for each field.
func ValidateAll(s ObjectSet) error {
	return validate(s, s.desired())
}

// validate checks records and the objects' references to each other in s.
func validate(s ObjectSet, records []Record) error {
	all := checker{}
	sum := 0
	for _, r := range records {
		r.PublishID = "validate"
		v, c := r.check()
		if v.service != nil {
			_, ok := s.Profiles[v.service.Profile]
			c.profileExists(v.service.Profile, ok)
		}
		if v.profile != nil {
			sum += v.profile.Queue.GuaranteedPercent
		}
		all.fields = append(all.fields, oneByPath(c.fields)...)
	}
	all.object = "profile/*"
	all.guaranteed(sum)
	return all.err()
}

// LoadDir reads profiles/*.json, services/*.json and quotas/*.json below dir;
// an object's name is its file name without ".json". A missing directory has
// no objects. It returns *ValidationError with all field errors of all files,
// or the error of the file system.
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
			v := (&checker{}).parse(kind, raw)
			s.add(&object{name: name, value: v})
		}
	}
	if err := validate(s, records); err != nil {
		return ObjectSet{}, err
	}
	return s, nil
}

// Diff returns the records that turn the configuration into the desired set,
// in an order in which each is valid when it is published. Author, comment and
// publish ID are left to the caller. It returns *ValidationError if desired is
// invalid or if no order of single changes leads there.
func Diff(c *Configuration, desired ObjectSet) ([]Record, error) {
	if err := ValidateAll(desired); err != nil {
		return nil, err
	}
	var pending []Record
	wanted := map[string]bool{}
	for _, r := range desired.desired() {
		wanted[key(r.Kind, r.Name)] = true
		r.BasedOn = c.Version(r.Kind, r.Name)
		if o, ok := c.find(r.Kind, r.Name); !ok || !sameValue(o.value, r) {
			pending = append(pending, r)
		}
	}
	for _, o := range slices.Backward(c.List("")) {
		if !wanted[key(o.Kind, o.Name)] {
			pending = append(pending, Record{Kind: o.Kind, Name: o.Name, BasedOn: o.Version, Delete: true})
		}
	}
	return order(c, pending)
}

func sameValue(v value, r Record) bool {
	other := (&checker{}).parse(r.Kind, r.Value)
	other.canonical, v.canonical = json.RawMessage{}, json.RawMessage{}
	return reflect.DeepEqual(v, other)
}

// order repeatedly moves every record that is valid at that point from
// pending to the result.
func order(c *Configuration, pending []Record) ([]Record, error) {
	var ordered []Record
	sim := *c
	for len(pending) > 0 {
		var blocked []Record
		var failed checker
		for _, r := range pending {
			r.PublishID = "diff"
			v, check := r.check()
			if !sim.fits(r, v, check) {
				r.PublishID = ""
				blocked = append(blocked, r)
				failed.fields = append(failed.fields, check.fields...)
				continue
			}
			sim.offset++
			sim.set(r, v)
			r.PublishID = ""
			ordered = append(ordered, r)
		}
		if len(blocked) == len(pending) {
			return nil, failed.err()
		}
		pending = blocked
	}
	return ordered, nil
}
