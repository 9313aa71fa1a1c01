package jobs

// queuedBytes returns the size of the texts that are to be appended, those included that are being appended.
func (o *outbox) queuedBytes() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := o.appendingBytes.Load()
	for _, a := range o.appenders {
		size += sizeOfTexts(a.texts)
	}
	return size
}

// sizeOfTexts returns the size of texts in bytes.
func sizeOfTexts(texts map[jobClaim]*pendingTexts) int64 {
	size := 0
	for _, t := range texts {
		for _, p := range t.progress {
			size += entryOverheadBytes
			for _, e := range p.Events {
				size += len(e.Data) + eventOverheadBytes
			}
		}
		for _, r := range t.results {
			size += entryOverheadBytes + len(r.Text)
		}
	}
	return int64(size)
}
