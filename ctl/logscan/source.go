package logscan

import (
	"bufio"
	"bytes"
	"container/heap"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// longestLine bounds a line, in bytes. Processes write lines of a few hundred.
const longestLine = 1 << 20

// Problem is a line that could not be read.
type Problem struct {
	File  string `json:"file"`
	Line  int    `json:"line"`
	Error string `json:"error"`
}

// Stats tells what was read.
type Stats struct {
	Lines   int `json:"lines"`   // records of processes
	OtherLines int `json:"remarks"` // lines that are none
	Bad     int `json:"bad"`     // lines that could not be read
	// Problems are the first of the bad lines.
	Problems []Problem `json:"problems,omitempty"`
}

// problemsKept bounds Stats.Problems.
const problemsKept = 5

func (s *Stats) bad(file string, line int, err error) {
	s.Bad++
	if len(s.Problems) < problemsKept {
		s.Problems = append(s.Problems, Problem{file, line, err.Error()})
	}
}

// Stdin names standard input among the paths.
const Stdin = "-"

// Files returns the log files that paths name: files themselves, folders with all
// files below them, and Stdin. Its size is in bytes; 0: not known.
func Files(paths []string) (files []string, size int64, err error) {
	for _, path := range paths {
		if path == Stdin {
			files = append(files, path)
			continue
		}
		err := filepath.WalkDir(path, func(name string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			info, err := d.Info()
			if err != nil {
				return err
			}
			files, size = append(files, name), size+info.Size()
			return nil
		})
		if err != nil {
			return nil, 0, errors.Trace(err)
		}
	}
	return files, size, nil
}

// Read calls f with the lines of all files in the order of their times. Each file
// has to be in that order by itself, as processes write it. progress is told the
// bytes that were read; nil: nobody asks.
func Read(files []string, stdin io.Reader, progress io.Writer, f func(*Line)) (Stats, error) {
	var stats Stats
	var queue readers
	defer func() { queue.close() }()
	for _, file := range files {
		r, err := open(file, stdin, progress)
		if err != nil {
			return stats, err
		}
		queue = append(queue, r)
	}
	queue = slices.DeleteFunc(queue, func(r *reader) bool { return !r.next(&stats) })
	heap.Init(&queue)
	for len(queue) > 0 {
		r := queue[0]
		f(&r.line)
		if r.next(&stats) {
			heap.Fix(&queue, 0)
			continue
		}
		if r.err != nil {
			return stats, errors.Annotate(r.err, r.file)
		}
		heap.Pop(&queue).(*reader).close()
	}
	return stats, nil
}

// reader reads one file.
type reader struct {
	file    string
	process string
	in      *bufio.Reader
	closer  io.Closer
	number  int
	line    Line
	err     error
}

func open(file string, stdin io.Reader, progress io.Writer) (*reader, error) {
	r := &reader{file: file, process: strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))}
	in := stdin
	if file == Stdin {
		r.file, r.process = "standard input", ""
	} else {
		opened, err := os.Open(file)
		if err != nil {
			return nil, errors.Trace(err)
		}
		r.closer, in = opened, opened
	}
	if progress != nil {
		in = io.TeeReader(in, progress)
	}
	r.in = bufio.NewReaderSize(in, 64<<10)
	return r, nil
}

func (r *reader) close() {
	if r.closer != nil {
		_ = r.closer.Close() // it was only read
	}
}

// next reads the next record; false: there is none, or r.err.
func (r *reader) next(stats *Stats) bool {
	for {
		text, err := r.text()
		if err != nil && err != io.EOF {
			r.err = errors.Trace(err)
			return false
		}
		if len(text) == 0 && err == io.EOF {
			return false
		}
		r.number++
		line, parseErr := parse(text, r.process)
		switch {
		case parseErr == nil:
			stats.Lines++
			line.File, line.Number = r.file, r.number
			r.line = line
			return true
		case errors.Is(parseErr, errNoRecord):
			stats.OtherLines++
		default:
			stats.bad(r.file, r.number, parseErr)
		}
	}
}

// text reads one line. Of a line that is too long the rest is passed over; what is
// left of it can't be read as a record.
func (r *reader) text() ([]byte, error) {
	var text []byte
	for {
		piece, err := r.in.ReadSlice('\n')
		if len(text) < longestLine {
			text = append(text, piece[:min(len(piece), longestLine-len(text))]...)
		}
		if err != bufio.ErrBufferFull {
			return bytes.TrimRight(text, "\r\n"), eofOf(err, len(text))
		}
	}
}

// eofOf tells the end of a file only where no line stands before it.
func eofOf(err error, read int) error {
	if err == io.EOF && read > 0 {
		return nil
	}
	return err
}

// readers is a heap by the times of the lines at hand.
type readers []*reader

// Len implements heap.Interface.
func (q readers) Len() int { return len(q) }

// Less implements heap.Interface.
func (q readers) Less(i, j int) bool { return q[i].line.At.Before(q[j].line.At) }

// Swap implements heap.Interface.
func (q readers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *readers) Push(x any) { *q = append(*q, x.(*reader)) }

// Pop implements heap.Interface.
func (q *readers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q readers) close() {
	for _, r := range q {
		r.close()
	}
}
