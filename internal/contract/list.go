package contract

// FromObjects returns the configuration that a listing at an offset describes.
// It knows no earlier versions, no deleted objects and no publish IDs, so it
// serves for comparing, not for folding. It fails with ErrUnreadable if the
// objects don't form a valid configuration.
func FromObjects(offset uint64, objects []Object) (*Configuration, error) {
	st := state{}
	for _, o := range objects {
		st.Objects = append(st.Objects, stateObject{o.Kind, o.Name, []Change{{Offset: o.Version, Value: o.Value}}})
	}
	s := Snapshot{Offset: offset, State: compress(marshal(st))}
	return s.decode(0)
}

// DecodeStrict fills the value that into points to from JSON and returns an
// error for every key that is unknown, repeated or of the wrong type, so that
// a check of a file can show all of them.
func DecodeStrict(data []byte, into any) []FieldError {
	var c checker
	c.decode(data, into)
	return oneByPath(c.fields)
}
