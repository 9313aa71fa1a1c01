package jobs

import "dandelionsill.org/fold/jobs"

// textGroup is a record of texts with the results whose texts it contains.
type textGroup struct {
	record  jobs.TextRecord
	data    []byte // encoded record
	results []jobs.Result
}

// groupTexts splits texts into records of a size that the log accepts. A record contains either
// partial texts or results, because results may be stored in another partition.
func groupTexts(w jobs.Writer, key jobClaim, t *pendingTexts) []textGroup {
	s := &textSplitter{writer: w, key: key}
	s.close()
	for _, p := range t.progress {
		bytes := entryOverheadBytes
		for _, e := range p.Events {
			bytes += len(e.Data) + eventOverheadBytes
		}
		g := s.next(bytes)
		g.record.Progress = append(g.record.Progress, p)
	}
	s.close()
	for _, r := range t.results {
		g := s.next(len(r.Text) + entryOverheadBytes)
		g.record.Texts = append(g.record.Texts, jobs.ItemText{Item: r.Item, Text: r.Text})
		g.results = append(g.results, r)
	}
	return s.groups
}

// textSplitter collects texts and starts a new record before one is too large.
type textSplitter struct {
	writer jobs.Writer
	key    jobClaim
	groups []textGroup
	size   int // of the last record, in bytes
}

// close makes the next text start a new record.
func (s *textSplitter) close() { s.size = maxRecordBytes }

// next returns the record for a text of the given size.
func (s *textSplitter) next(bytes int) *textGroup {
	if s.size+bytes > maxRecordBytes {
		s.groups = append(s.groups, textGroup{record: jobs.TextRecord{Writer: s.writer, Job: s.key.job, Claim: s.key.claim}})
		s.size = 0
	}
	s.size += bytes
	return &s.groups[len(s.groups)-1]
}

// separateResults separates the records of partial texts from those of results.
func separateResults(groups []textGroup) (progress, results []textGroup) {
	for _, g := range groups {
		if len(g.results) > 0 {
			results = append(results, g)
		} else {
			progress = append(progress, g)
		}
	}
	return progress, results
}

// nextBatch returns the records of the next append.
func nextBatch(groups []textGroup) [][]byte {
	var records [][]byte
	size := 0
	for _, g := range groups {
		if size += len(g.data); size > maxAppendBytes && len(records) > 0 {
			break
		}
		records = append(records, g.data)
	}
	return records
}
