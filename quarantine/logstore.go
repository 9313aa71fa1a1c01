package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/platform"
)

// logStore stores keyed records in a log without keys. It keeps a record only as long as
// the log does.
type logStore struct{ log platform.Log }

// NewLogStore returns a store of keyed records that is backed by a log without keys.
func NewLogStore(log platform.Log) platform.KeyedStore { return &logStore{log} }

// logRecord is the encoding of the records of one append.
type logRecord struct {
	Records []platform.KeyedRecord `json:"records"`
}

// maxReadRecords is the maximum number of records of one read.
const maxReadRecords = 1000

// PutAll implements platform.KeyedStore.
func (s *logStore) PutAll(ctx context.Context, stream string, records []platform.KeyedRecord) error {
	data, err := json.Marshal(logRecord{records})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = s.log.Append(ctx, stream, data)
	return err
}

// Newest implements platform.KeyedStore.
func (s *logStore) Newest(ctx context.Context, stream string) ([]platform.KeyedRecord, uint64, error) {
	newest := map[string]platform.KeyedRecord{}
	from := uint64(0)
	for {
		page, err := s.log.Read(ctx, stream, from, maxReadRecords, 0)
		if errors.Is(err, platform.ErrTruncated) && page.First > from {
			from = page.First
			continue
		}
		if err != nil {
			return nil, 0, errors.Trace(err)
		}
		for _, r := range decodeRecords(page.Records) {
			newest[r.Key] = r
		}
		from = page.Next
		if len(page.Records) == 0 || page.Next >= page.End {
			break
		}
	}
	records := make([]platform.KeyedRecord, 0, len(newest))
	for _, r := range newest {
		if len(r.Value) > 0 {
			records = append(records, r)
		}
	}
	return records, from, nil
}

// ReadKeyed implements platform.KeyedStore.
func (s *logStore) ReadKeyed(ctx context.Context, stream string, from uint64, wait time.Duration) ([]platform.KeyedRecord, uint64, error) {
	page, err := s.log.Read(ctx, stream, from, maxReadRecords, wait)
	if err != nil {
		return nil, page.Next, errors.Trace(err)
	}
	return decodeRecords(page.Records), page.Next, nil
}

// decodeRecords returns the keyed records in records of the log. It skips those that it
// can't decode, which other releases may have written.
func decodeRecords(records []platform.Record) []platform.KeyedRecord {
	var all []platform.KeyedRecord
	for _, r := range records {
		var in logRecord
		if json.Unmarshal(r.Data, &in) == nil {
			all = append(all, in.Records...)
		}
	}
	return all
}
