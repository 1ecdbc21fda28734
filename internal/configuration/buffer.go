package configuration

import (
	"slices"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

const (
	// maxBufferedRecords and maxBufferedBytes bound the records kept for peers:
	// several hours of changes at 3,600 a day.
	maxBufferedRecords = 1024
	maxBufferedBytes   = 4 << 20
	// maxDeltaBytes bounds the size of the records in one Delta. A single
	// record may be larger.
	maxDeltaBytes = 256 << 10
)

// recordBuffer holds the newest consecutive log records.
type recordBuffer struct {
	records []platform.Record
	bytes   int
}

// add appends records that end at lastOffset. Records that don't connect to the
// buffered ones replace them. If records doesn't end at lastOffset, the buffer
// is cleared.
func (b *recordBuffer) add(lastOffset uint64, records []platform.Record) {
	if len(records) == 0 || records[len(records)-1].Offset != lastOffset {
		*b = recordBuffer{}
		return
	}
	if n := len(b.records); n > 0 {
		end := b.records[n-1].Offset
		if records[0].Offset > end+1 {
			*b = recordBuffer{}
		} else {
			records = records[min(uint64(len(records)), end+1-records[0].Offset):]
		}
	}
	for _, rec := range records {
		b.records = append(b.records, rec)
		b.bytes += len(rec.Data)
	}
	if len(b.records) <= maxBufferedRecords && b.bytes <= maxBufferedBytes {
		return
	}
	// Trim to half, so that the slice is not copied for every record.
	drop := 0
	for len(b.records)-drop > maxBufferedRecords/2 || b.bytes > maxBufferedBytes/2 {
		b.bytes -= len(b.records[drop].Data)
		drop++
	}
	b.records = slices.Clone(b.records[drop:])
}

// after returns up to limit records after an offset, and false if they are no
// longer buffered.
func (b *recordBuffer) after(offset uint64, limit int) ([]platform.Record, bool) {
	if len(b.records) == 0 || offset+1 < b.records[0].Offset {
		return nil, false
	}
	records := b.records[min(uint64(len(b.records)), offset+1-b.records[0].Offset):]
	n, size := 0, 0
	for n < min(limit, len(records)) && (n == 0 || size+len(records[n].Data) <= maxDeltaBytes) {
		size += len(records[n].Data)
		n++
	}
	return slices.Clone(records[:n]), n > 0
}

// encodedState caches the encoding of the state that was last requested.
type encodedState struct {
	config *contract.Configuration
	data   []byte
}

// Since returns to a peer what this host has beyond an offset: up to limit
// records, or the whole state if the records are no longer buffered. With a
// limit of 0 it returns the applied offset only. Applied is 0 if there is no
// state.
func (r *Reader) Since(offset uint64, limit int) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.active.Load()
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
	if r.encoded.config != c {
		r.encoded = encodedState{c, c.Snapshot().Encode()}
	}
	d.State = r.encoded.data
	return d
}
