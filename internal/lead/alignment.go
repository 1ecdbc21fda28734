package lead

import "time"

const (
	// maxAlignmentAge is how much longer a term may have lasted, by a later record, for an
	// earlier record of it to tell when that one was sent. Boot clocks differ by less than
	// alignmentSlack over that time, with the rounding of Holder.TermMS.
	maxAlignmentAge = 30 * time.Second
	alignmentSlack  = 10 * time.Millisecond
)

// termAlignment bounds when the records of a term were sent. Each tells how long the term had
// lasted, so one that was read soon tells when the later ones were sent, however late these
// are read.
type termAlignment struct {
	epoch       int64
	incarnation string
	// begunBy is a reading of the boot clock by which the term had begun, by the record that
	// was sent when the term had lasted for age.
	begunBy, age time.Duration
}

// sentBy returns a reading of the boot clock by which h had been sent, which was read at readAt.
func (a *termAlignment) sentBy(h *Holder, readAt time.Duration) time.Duration {
	age := milliseconds(h.TermMS)
	if a.epoch != h.Epoch || a.incarnation != h.Incarnation || age < a.age || age-a.age > maxAlignmentAge {
		*a = termAlignment{h.Epoch, h.Incarnation, readAt - age, age}
		return readAt
	}
	if age == 0 {
		return readAt // a claim, or a version that does not say how long terms have lasted
	}
	bound := min(readAt, a.begunBy+age+alignmentSlack)
	if readAt-age < a.begunBy {
		a.begunBy, a.age = readAt-age, age
	}
	return bound
}
