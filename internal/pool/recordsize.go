package pool

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/store"
)

const (
	// defaultMaxRecordBytes is the limit of the current deployments.
	defaultMaxRecordBytes = 256 << 10
	// portionReserve is kept free in the record of a job that is spread over the shards:
	// the records of its portions are longer by the portion, and a compressed one may
	// differ in length a little more.
	portionReserve = 1 << 10
	// taskRecordReserve fits all of a task's record but its checkpoint: two IDs of workers,
	// of at most 255 bytes that are up to six in JSON, and numbers.
	taskRecordReserve = 4 << 10
	// maxEscapedBytes is the most that a byte of a string takes in JSON.
	maxEscapedBytes = 6
)

// gzipMagic begins a compressed value. No JSON value begins with it.
var gzipMagic = []byte{0x1f, 0x8b}

// recordBytes returns the size of a record that the store's limit applies to.
func recordBytes(r store.Record) int { return 1 + len(r.Key) + len(r.Value) }

// maxRecordBytes returns the store's limit for a record.
func (p *Pool) maxRecordBytes() int {
	const lengthBytes = recordOverhead - 1
	return min(cmp.Or(p.opts.MaxRecordBytes, defaultMaxRecordBytes), cmp.Or(p.opts.MaxAppendBytes, defaultMaxAppendBytes)-lengthBytes)
}

// jobRecordLimit returns the limit for the record of a new job.
func (p *Pool) jobRecordLimit(j *Job) int {
	if j.spread {
		return p.maxRecordBytes() - portionReserve
	}
	return p.maxRecordBytes()
}

// canStoreCheckpoint reports whether a record of a task can contain the checkpoint. One
// that is too large is ignored: the task resumes from an earlier one or begins again, as
// no record of the task could be stored with it.
func (p *Pool) canStoreCheckpoint(checkpoint string) bool {
	limit := p.maxRecordBytes() - taskRecordReserve
	if maxEscapedBytes*len(checkpoint) <= limit || len(encodeRecord("", checkpoint).Value) <= limit {
		return true
	}
	p.incrementMetric("tasks.checkpoints_too_large")
	return false
}

// encodeCompactly encodes a record and compresses its value if it would exceed limit.
// Other values stay readable by versions that do not know compressed ones. It returns a
// wrapped ErrRecordRejected if the compressed value exceeds the limit, too.
func encodeCompactly(key string, v any, limit int) (store.Record, error) {
	r := encodeRecord(key, v)
	plain := recordBytes(r)
	if plain <= limit {
		return r, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	encoder := json.NewEncoder(w)
	// Escaping makes one byte of a string six.
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(v)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic("compress a record: " + err.Error()) // records hold only plain fields
	}
	r.Value = b.Bytes()
	if recordBytes(r) > limit {
		return store.Record{}, errors.Wrapf(ErrRecordRejected, "the job takes %d bytes, compressed %d, and its record in the store at most %d", plain, recordBytes(r), limit)
	}
	return r, nil
}

// decodeCompact decodes a value that encodeCompactly has encoded.
func decodeCompact(value []byte, v any) error {
	if bytes.HasPrefix(value, gzipMagic) {
		r, err := gzip.NewReader(bytes.NewReader(value))
		if err != nil {
			return errors.Wrap(err, "decompress")
		}
		if value, err = io.ReadAll(r); err != nil {
			return errors.Wrap(err, "decompress")
		}
	}
	return errors.WithStack(json.Unmarshal(value, v))
}
