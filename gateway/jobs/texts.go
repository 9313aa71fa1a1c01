package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform"
)

// maxTextsWait bounds one attempt to read a job's items and earlier texts; the owner retries.
const maxTextsWait = 3 * time.Second

// stream returns the name of the stream with the texts of a partition.
func (p textPart) stream() string {
	if p.regions == "" {
		return fmt.Sprintf("%s/%d", textTopic, p.part)
	}
	return fmt.Sprintf("%s.%s/%d", textTopic, p.regions, p.part)
}

// partitionOf returns the partition of a job's texts.
func partitionOf(job string, partitions int) int { return int(route.Hash(job) % uint64(partitions)) }

// errItemsUnreadable means that the stream ends before all needed items of the job.
var errItemsUnreadable = errors.New("the text stream ends before the job's items")

// readTexts folds the items of a job. If toEnd is set, because earlier owners may have made
// texts, it also folds everything after them to the end of the stream.
func readTexts(ctx context.Context, log *reader, j *jobs.Spec, from jobs.TextRef, toEnd bool) (*jobs.Texts, error) {
	return foldTexts(ctx, log, j.ID, from, func(texts *jobs.Texts, atEnd bool) bool {
		return texts.ItemCount() >= j.Total && (!toEnd || atEnd)
	})
}

// readItem reads one item of a job.
func readItem(ctx context.Context, log *reader, job, item string, from jobs.TextRef) (jobs.Item, error) {
	known := func(texts *jobs.Texts) bool { _, ok := texts.Item(item); return ok }
	texts, err := foldTexts(ctx, log, job, from, func(texts *jobs.Texts, _ bool) bool { return known(texts) })
	if err != nil {
		return jobs.Item{}, err
	}
	found, _ := texts.Item(item)
	return found, nil
}

// foldTexts folds the texts of a job from the offset of its items on until enough returns true.
// The argument of enough is true if the stream's end was reached.
func foldTexts(ctx context.Context, log *reader, job string, from jobs.TextRef, enough func(texts *jobs.Texts, atEnd bool) bool) (*jobs.Texts, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTextsWait)
	defer cancel()
	texts := jobs.NewTexts(job)
	for next := from.Offset; ; {
		page, err := log.read(ctx, textPartOf(&from).stream(), next, 0)
		if errors.Is(err, platform.ErrTruncated) && page.First > next {
			next = page.First
			continue
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		for _, rec := range page.Records {
			if record, err := jobs.DecodeText(rec.Data); err == nil {
				texts.Apply(record)
			} else {
				recordsBad.Add(1)
			}
		}
		next = page.Next
		switch {
		case enough(texts, next >= page.End):
			return texts, nil
		case len(page.Records) == 0:
			return nil, errItemsUnreadable
		}
	}
}

// encodeItems encodes the records of a job's items.
func encodeItems(w jobs.Writer, job string, items []jobs.Item) ([][]byte, error) {
	var out [][]byte
	r := jobs.TextRecord{Writer: w, Job: job}
	size := 0
	appendRecord := func() error {
		data, err := r.Encode()
		out = append(out, data)
		r.Items, size = nil, 0
		return errors.Trace(err)
	}
	for _, item := range items {
		r.Items = append(r.Items, item)
		if size += itemSize(&item); size > maxRecordBytes {
			if err := appendRecord(); err != nil {
				return nil, err
			}
		}
	}
	if len(r.Items) > 0 {
		if err := appendRecord(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// itemSize returns the approximate size of an item in a record, in bytes.
func itemSize(item *jobs.Item) int {
	size := itemOverheadBytes + len(item.Body)
	if item.Score != nil {
		size += len(item.Score.Body)
	}
	return size
}
