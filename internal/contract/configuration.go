package contract

import (
	"cmp"
	"encoding/json"
	"slices"
)

const (
	// maxHistory bounds the number of changes kept for an object, including the
	// current one.
	maxHistory = 5
	// maxDeleted bounds the number of deleted objects whose history is kept.
	maxDeleted = 256
	// publishWindow is the number of log records for which a publish ID is
	// kept: half a day at 3,600 changes a day.
	publishWindow = 2048
	// maxOutcomeFields bounds the field errors kept for an invalid record.
	maxOutcomeFields = 8
)

// Change is one accepted change of an object.
type Change struct {
	// Offset is the log offset of the record and the version of the object.
	Offset    uint64 `json:"offset"`
	PublishID string `json:"publish_id"`
	Author    string `json:"author,omitempty"`
	Comment   string `json:"comment,omitempty"`
	// Value is the new value, empty if the object was deleted.
	Value json.RawMessage `json:"value,omitempty"`
}

// Deleted reports whether the change deleted the object.
func (c Change) Deleted() bool { return len(c.Value) == 0 }

// Object is the current version of one configuration object, as returned by
// List.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the log offset of the record that set the value.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// object is a configuration object with its newest changes. It may be deleted.
type object struct {
	kind Kind
	name string
	parsedValue
	// changes are the newest changes, oldest first; never empty.
	changes []Change
}

func (o *object) lastChange() Change { return o.changes[len(o.changes)-1] }

// Configuration is an immutable view of all profiles, services and quotas at
// one log offset. It is safe for concurrent use.
type Configuration struct {
	// missed and bridge are described at Snapshot.
	offset, missed, bridge uint64
	// objects holds present and recently deleted objects by kind and name.
	objects *index[*object]
	// published holds the outcomes of the publish IDs of the last
	// publishWindow offsets.
	published *index[*Outcome]
}

// EmptyConfiguration returns the configuration at offset 0, without objects.
func EmptyConfiguration() *Configuration {
	return &Configuration{objects: new(index[*object]), published: new(index[*Outcome])}
}

// Offset returns the offset of the last log record that was applied.
func (c *Configuration) Offset() uint64 { return c.offset }

// Missed returns the number of log records that were dropped from the log
// before any reachable host had read them. It is 0 in normal operation.
func (c *Configuration) Missed() uint64 { return c.missed }

// TakesPrecedenceOver reports whether c takes precedence over o when at least
// one of them skipped records that were dropped from the log. Fewer missed
// records win, then the lower bridge offset. All hosts agree on this order,
// whichever they read first.
func (c *Configuration) TakesPrecedenceOver(o *Configuration) bool {
	return cmp.Or(cmp.Compare(c.missed, o.missed), cmp.Compare(c.bridge, o.bridge)) < 0
}

// find returns an object that exists and is not deleted.
func (c *Configuration) find(kind Kind, name string) (*object, bool) {
	o, ok := c.objects.get(objectKey(kind, name))
	if !ok || o.lastChange().Deleted() {
		return nil, false
	}
	return o, true
}

// Profile returns the named profile with defaults filled in.
func (c *Configuration) Profile(name string) (Profile, bool) {
	if o, ok := c.find(KindProfile, name); ok {
		p := *o.profile
		p.Overrun = slices.Clone(p.Overrun)
		return p, true
	}
	return Profile{}, false
}

// Service returns the named service.
func (c *Configuration) Service(name string) (Service, bool) {
	if o, ok := c.find(KindService, name); ok {
		return *o.service, true
	}
	return Service{}, false
}

// Quota returns the quota of a team.
func (c *Configuration) Quota(team string) (Quota, bool) {
	if o, ok := c.find(KindQuota, team); ok {
		return *o.quota, true
	}
	return Quota{}, false
}

// Version returns the offset of the record that set the object, 0 if there is
// no such object.
func (c *Configuration) Version(kind Kind, name string) uint64 {
	if o, ok := c.find(kind, name); ok {
		return o.lastChange().Offset
	}
	return 0
}

// History returns the newest changes of an object, oldest first: at most 5,
// and none if the object never existed. A deleted object keeps its history
// while it is among the last 256 deleted ones.
func (c *Configuration) History(kind Kind, name string) []Change {
	o, ok := c.objects.get(objectKey(kind, name))
	if !ok {
		return nil
	}
	changes := slices.Clone(o.changes)
	for i := range changes {
		changes[i].Value = slices.Clone(changes[i].Value)
	}
	return changes
}

// List returns the objects of a kind, or all for an empty kind, sorted by
// kind and name.
func (c *Configuration) List(kind Kind) []Object {
	var list []Object
	for o := range c.objects.all {
		if !o.lastChange().Deleted() && (kind == "" || kind == o.kind) {
			list = append(list, Object{o.kind, o.name, o.lastChange().Offset, slices.Clone(o.lastChange().Value)})
		}
	}
	slices.SortFunc(list, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// Published returns the outcome of the first record with a publish ID. It knows
// the publish IDs of the last 2,048 log records.
func (c *Configuration) Published(publishID string) (Outcome, bool) {
	o, ok := c.published.get(publishID)
	if !ok || !c.inPublishWindow(o) {
		return Outcome{}, false
	}
	return *o, true
}

func (c *Configuration) inPublishWindow(o *Outcome) bool { return o.Offset+publishWindow > c.offset }
