package configuration

import (
	"slices"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

const (
	// maxRetained and maxRetainedBytes bound the records kept for neighbours:
	// several hours of changes at 3,600 a day.
	maxRetained      = 1024
	maxRetainedBytes = 4 << 20
	// maxDeltaBytes bounds the records of one Delta, except that one record
	// always fits.
	maxDeltaBytes = 256 << 10
)

// retained holds the newest consecutive records.
type retained struct {
	list  []platform.Record
	bytes int
}

// add appends the records up to an offset; records that don't connect replace
// what is kept.
func (t *retained) add(until uint64, records []platform.Record) {
	if len(records) == 0 || records[len(records)-1].Offset != until {
		*t = retained{}
		return
	}
	if n := len(t.list); n > 0 {
		end := t.list[n-1].Offset
		if records[0].Offset > end+1 {
			*t = retained{}
		} else {
			records = records[min(uint64(len(records)), end+1-records[0].Offset):]
		}
	}
	for _, rec := range records {
		t.list = append(t.list, rec)
		t.bytes += len(rec.Data)
	}
	if len(t.list) <= maxRetained && t.bytes <= maxRetainedBytes {
		return
	}
	// Trims to half, so that not every record copies the list.
	drop := 0
	for len(t.list)-drop > maxRetained/2 || t.bytes > maxRetainedBytes/2 {
		t.bytes -= len(t.list[drop].Data)
		drop++
	}
	t.list = slices.Clone(t.list[drop:])
}

// after returns up to limit records after an offset, and false if they are no
// longer kept.
func (t *retained) after(offset uint64, limit int) ([]platform.Record, bool) {
	if len(t.list) == 0 || offset+1 < t.list[0].Offset {
		return nil, false
	}
	list := t.list[min(uint64(len(t.list)), offset+1-t.list[0].Offset):]
	n, size := 0, 0
	for n < min(limit, len(list)) && (n == 0 || size+len(list[n].Data) <= maxDeltaBytes) {
		size += len(list[n].Data)
		n++
	}
	return slices.Clone(list[:n]), n > 0
}

// encodedState is the encoded form of the state last asked for.
type encodedState struct {
	of   *contract.Configuration
	data []byte
}

// Since returns what this host has beyond an offset, for neighbours: up to
// limit records, or the whole state if the records are no longer kept. A limit
// of 0 asks for the applied offset only. Without a state, Applied is 0.
func (r *Reader) Since(offset uint64, limit int) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.inForce.Load()
	if c == nil {
		return Delta{}
	}
	d := Delta{Applied: c.Offset()}
	if limit <= 0 || offset >= c.Offset() {
		return d
	}
	if records, ok := r.records.after(offset, limit); ok {
		d.Records = records
		return d
	}
	if r.encoded.of != c {
		r.encoded = encodedState{c, c.Snapshot().Encode()}
	}
	d.State = r.encoded.data
	return d
}
