package jobs

import "dandelionsill.org/fold/jobs"

// textGroup is a record of texts with the results whose texts it holds.
type textGroup struct {
	record  jobs.TextRecord
	data    []byte // of the record
	results []jobs.Result
}

// splitTexts makes records of a size that the log takes. One holds texts so far or whole
// texts, for these may stand elsewhere.
func splitTexts(w jobs.Writer, of claimed, t *jobTexts) []textGroup {
	s := &textSplitter{writer: w, of: of}
	s.close()
	for _, p := range t.progress {
		bytes := startBytes
		for _, e := range p.Events {
			bytes += len(e.Data) + eventBytes
		}
		g := s.next(bytes)
		g.record.Progress = append(g.record.Progress, p)
	}
	s.close()
	for _, r := range t.results {
		g := s.next(len(r.Text) + startBytes)
		g.record.Texts = append(g.record.Texts, jobs.ItemText{Item: r.Item, Text: r.Text})
		g.results = append(g.results, r)
	}
	return s.groups
}

// textSplitter gathers texts and begins a new record in time.
type textSplitter struct {
	writer jobs.Writer
	of     claimed
	groups []textGroup
	size   int // of the last record, in bytes
}

// close makes the next text begin a new record.
func (s *textSplitter) close() { s.size = recordMost }

// next returns the record for a text of some bytes.
func (s *textSplitter) next(bytes int) *textGroup {
	if s.size+bytes > recordMost {
		s.groups = append(s.groups, textGroup{record: jobs.TextRecord{Writer: s.writer, Job: s.of.job, Claim: s.of.claim}})
		s.size = 0
	}
	s.size += bytes
	return &s.groups[len(s.groups)-1]
}

// divide tells records of texts so far from those of whole texts.
func divide(groups []textGroup) (progress, results []textGroup) {
	for _, g := range groups {
		if len(g.results) > 0 {
			results = append(results, g)
		} else {
			progress = append(progress, g)
		}
	}
	return progress, results
}

// nextCall returns the records of the next append.
func nextCall(groups []textGroup) [][]byte {
	var records [][]byte
	size := 0
	for _, g := range groups {
		if size += len(g.data); size > callMost && len(records) > 0 {
			break
		}
		records = append(records, g.data)
	}
	return records
}
