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

// maxLineBytes is the largest part of a line that is kept, in bytes. Processes write
// lines of a few hundred bytes.
const maxLineBytes = 1 << 20

// Problem is a line that could not be parsed.
type Problem struct {
	File  string `json:"file"`
	Line  int    `json:"line"`
	Error string `json:"error"`
}

// Stats counts the lines that were read.
type Stats struct {
	Lines      int `json:"lines"`   // log records of processes
	OtherLines int `json:"remarks"` // lines that are not log records
	Bad        int `json:"bad"`     // lines that could not be parsed
	// Problems holds the first maxProblems of the bad lines.
	Problems []Problem `json:"problems,omitempty"`
}

// maxProblems is the maximum length of Stats.Problems.
const maxProblems = 5

func (s *Stats) addProblem(file string, line int, err error) {
	s.Bad++
	if len(s.Problems) < maxProblems {
		s.Problems = append(s.Problems, Problem{file, line, err.Error()})
	}
}

// Stdin is the path that stands for standard input.
const Stdin = "-"

// Files returns the log files for paths: a path may be a file, a directory, which
// stands for all files below it, or Stdin. size is the total size of the files in
// bytes, without standard input.
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

// Read calls f with the log records of all files in the order of their times. Each
// file must be in that order already, as processes write it. If progress is not
// nil, all bytes that are read are also written to it.
func Read(files []string, stdin io.Reader, progress io.Writer, f func(*Line)) (Stats, error) {
	var stats Stats
	var queue readerHeap
	defer func() { queue.close() }()
	for _, file := range files {
		opened, err := open(file, stdin, progress)
		if err != nil {
			return stats, err
		}
		queue = append(queue, opened)
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

// reader reads the log records of one file.
type reader struct {
	file       string
	process    string
	input      *bufio.Reader
	closer     io.Closer
	lineNumber int
	line       Line
	err        error
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
	r.input = bufio.NewReaderSize(in, 64<<10)
	return r, nil
}

func (r *reader) close() {
	if r.closer != nil {
		_ = r.closer.Close() // the file was only read
	}
}

// next reads the next record into r.line. It returns false at the end of the file
// and after an error, which is then in r.err.
func (r *reader) next(stats *Stats) bool {
	for {
		text, err := r.readLine()
		if err != nil && err != io.EOF {
			r.err = errors.Trace(err)
			return false
		}
		if len(text) == 0 && err == io.EOF {
			return false
		}
		r.lineNumber++
		line, parseErr := parseLine(text, r.process)
		switch {
		case parseErr == nil:
			stats.Lines++
			line.File, line.Number = r.file, r.lineNumber
			r.line = line
			return true
		case errors.Is(parseErr, errNotRecord):
			stats.OtherLines++
		default:
			stats.addProblem(r.file, r.lineNumber, parseErr)
		}
	}
}

// readLine reads one line. A line longer than maxLineBytes is truncated, and then
// can't be parsed as a record.
func (r *reader) readLine() ([]byte, error) {
	var text []byte
	for {
		piece, err := r.input.ReadSlice('\n')
		if len(text) < maxLineBytes {
			text = append(text, piece[:min(len(piece), maxLineBytes-len(text))]...)
		}
		if err != bufio.ErrBufferFull {
			return bytes.TrimRight(text, "\r\n"), eofIfEmpty(err, len(text))
		}
	}
}

// eofIfEmpty drops an io.EOF that follows a last line without a line feed, so that
// this line is returned before the end of the file.
func eofIfEmpty(err error, read int) error {
	if err == io.EOF && read > 0 {
		return nil
	}
	return err
}

// readerHeap is a heap of readers, ordered by the times of their current lines.
type readerHeap []*reader

// Len implements heap.Interface.
func (q readerHeap) Len() int { return len(q) }

// Less implements heap.Interface.
func (q readerHeap) Less(i, j int) bool { return q[i].line.At.Before(q[j].line.At) }

// Swap implements heap.Interface.
func (q readerHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *readerHeap) Push(x any) { *q = append(*q, x.(*reader)) }

// Pop implements heap.Interface.
func (q *readerHeap) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q readerHeap) close() {
	for _, r := range q {
		r.close()
	}
}
