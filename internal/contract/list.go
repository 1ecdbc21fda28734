package contract

// FromObjects returns the configuration that consists of the listed objects at
// an offset. It has no earlier versions, no deleted objects and no publish IDs,
// so it can be compared with other configurations, but log records must not be
// applied to it. It fails with ErrUnreadable if the objects don't form a valid
// configuration.
func FromObjects(offset uint64, objects []Object) (*Configuration, error) {
	st := snapshotState{}
	for _, o := range objects {
		st.Objects = append(st.Objects, snapshotObject{o.Kind, o.Name, []Change{{Offset: o.Version, Value: o.Value}}})
	}
	s := Snapshot{Offset: offset, State: compress(marshal(st))}
	return s.decode(0)
}

// DecodeStrict decodes JSON into the value that into points to and returns an
// error for every key that is unknown, repeated or of the wrong type, so that
// all mistakes in a file can be reported at once.
func DecodeStrict(data []byte, into any) []FieldError {
	var c checker
	c.decode(data, into)
	return firstErrorPerPath(c.fields)
}
