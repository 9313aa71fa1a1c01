package logscan

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// record returns a line as a process writes it, ms milliseconds after a fixed time.
func record(ms int, message, fields string) string {
	at := time.UnixMilli(1_767_338_000_000 + int64(ms)).UTC().Format(timeLayout)
	return fmt.Sprintf(`{"level":"info","ts":"%s","msg":"gateway: %s",%s}`, at, message, strings.TrimSuffix(fields, ",")) + "\n"
}

func scanText(t testing.TB, text string, add func(*Line)) Stats {
	stats, err := Read([]string{Stdin}, strings.NewReader(text), nil, add)
	require.NoError(t, err)
	return stats
}

func TestParse(t *testing.T) {
	jsonLine := record(0, "runner: Sample done.", `"id":"a","streamed":"1.5s","job":"j"`)
	l, err := parseLine([]byte(jsonLine), "vm-1")
	require.NoError(t, err)
	require.Equal(t, "vm-1", l.Process)
	require.Equal(t, "runner", l.Part)
	require.Equal(t, "Sample done.", l.Message)
	require.Equal(t, 1500*time.Millisecond, time.Duration(l.Streamed))

	l, err = parseLine([]byte("  -8.9622 front-a-1 "+jsonLine), "file")
	require.NoError(t, err)
	require.Equal(t, "front-a-1", l.Process, "the platform's prefix names the process")
	l, err = parseLine([]byte(record(0, "Started.", `"took":7`)), "")
	require.NoError(t, err, "a field of the same name with another meaning")
	require.Equal(t, "Started.", l.Message)

	for _, otherLine := range []string{"", "quiet-1  17/13  0.96", "worth {0.9} less prices", "a b c {}"} {
		_, err := parseLine([]byte(otherLine), "")
		require.ErrorIs(t, err, errNotRecord, otherLine)
	}
}

// A line that can't be parsed is reported with its file and line number, and no other
// line is lost.
func TestUnreadableLinesAreReported(t *testing.T) {
	dir := t.TempDir()
	good := record(5, "Started.", `"id":"a"`)
	file := filepath.Join(dir, "sub", "vm-2.log")
	require.NoError(t, os.MkdirAll(filepath.Dir(file), 0o755))
	require.NoError(t, os.WriteFile(file, []byte(good+good[:40]+"\n"+`{"msg":"x","ts":"noon"}`+"\n"+`{"msg":"x","ts":"2026-01-02T07:00:00.000Z","id":7}`+"\nremark\n"+good), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "vm-1.log"), []byte(record(1, "Starting.", `"id":"b"`)), 0o600))
	files, size, err := Files([]string{dir})
	require.NoError(t, err)
	require.Len(t, files, 2)
	require.Positive(t, size)
	var got []string
	stats, err := Read(files, nil, nil, func(l *Line) { got = append(got, l.Process+" "+l.Message) })
	require.NoError(t, err)
	require.Equal(t, []string{"vm-1 Starting.", "vm-2 Started.", "vm-2 Started."}, got, "in the order of time")
	require.Equal(t, 3, stats.Bad)
	require.Equal(t, 1, stats.OtherLines)
	require.Equal(t, file, stats.Problems[0].File)
	require.Equal(t, []int{2, 3, 4}, []int{stats.Problems[0].Line, stats.Problems[1].Line, stats.Problems[2].Line})
	_, _, err = Files([]string{filepath.Join(dir, "nowhere")})
	require.Error(t, err)
}

// A line of many megabytes is skipped and not kept in memory.
func TestLongLineIsSkipped(t *testing.T) {
	n := 0
	stats := scanText(t, `{"ts":"`+strings.Repeat("x", 3*maxLineBytes)+"\n"+record(0, "Started.", `"id":"a"`), func(*Line) { n++ })
	require.Equal(t, 1, n)
	require.Equal(t, 1, stats.Bad)
}

// sampleLog returns the log of two processes. It has one sample in time, one that was
// late because it waited for a slot, one that failed because of an outage of the log,
// and requests of three kinds.
func sampleLog() string {
	return record(0, "jobs: Batch job.", `"job":"j","model":"m","items":3,"due":"7.5s","owner":"a"`) +
		record(1, "jobs: Batch job.", `"job":"j","model":"m","items":3,"due":"7.5s","owner":"a"`) +
		record(10, "runner: Sample starts.", `"id":"s1","job":"j","waiting":3`) +
		record(900, "runner: Stream ended early.", `"id":"s1","job":"j","why":"broken"`) +
		record(950, "runner: Sample starts.", `"id":"s1","job":"j","waiting":2`) +
		record(1500, "runner: No score yet.", `"id":"s1","score_id":"r1","job":"j","status":500`) +
		record(1600, "forward: Try.", `"id":"r1","status":200`) +
		record(1700, "runner: Sample done.", `"id":"s1","job":"j","waited":"10ms","streamed":"1s","scored":"0s"`) +
		record(7000, "runner: Sample starts.", `"id":"s2","job":"j","waiting":1`) +
		record(8000, "runner: Sample done.", `"id":"s2","job":"j","waited":"7s","streamed":"1s","scored":"0s"`) +
		record(8100, "runner: Sample starts.", `"id":"s3","job":"j","waiting":0`) +
		record(8200, "jobs: Lost the log.", `"offset":3`) +
		record(8300, "front: Request failed.", `"id":"q1","path":"/-/results/j","kind":"log_unavailable","not_run":true`) +
		record(9000, "jobs: The log is back.", `"offset":3`) +
		record(9100, "forward: Try failed.", `"id":"q2","not_run":false,"error":"reset"`) +
		record(9200, "front: Request failed.", `"id":"q2","path":"/orders/1","kind":"outcome_unknown","not_run":false`) +
		record(9300, "front: Request failed.", `"id":"q3","path":"/other/1","kind":"not_found","not_run":true`) +
		record(12000, "jobs: Batch job is over.", `"job":"j","results":2,"items":3,"ended":true`) +
		record(12001, "jobs: Batch job is over.", `"job":"j","results":2,"items":3,"ended":true`)
}

// From the lines alone, each request and sample that was lost is counted once with its
// kind, time and cause, also if several processes log it.
func TestLosses(t *testing.T) {
	losses := NewLosses()
	scanText(t, sampleLog(), losses.Add)
	got := map[string]int{}
	for _, r := range losses.Rows() {
		got[fmt.Sprintf("%s %s: %s (%s)", r.RequestKind, r.Outcome, r.Cause, r.Example)] = r.Count
	}
	require.Equal(t, map[string]int{
		"samples of m late: waited for a place (s2)":                       1,
		"samples of m failed: store away (s3)":                             1,
		"/-/results refused: store away (q1)":                              1,
		"/orders failed: server broke off or restarted (q2)":               1,
		"paths without a route refused: refused by the configuration (q3)": 1,
	}, got)

	seconds := losses.Timeline.Seconds
	require.Len(t, seconds, 13)
	require.Equal(t, 3, seconds[0].Waiting)
	require.Equal(t, 1, seconds[0].Running)
	require.Zero(t, seconds[5].Running)
	require.Equal(t, 1, seconds[8].WithoutLog)
	require.Equal(t, 2, seconds[8].Lost+seconds[8].Refused)
	require.Zero(t, seconds[12].Running)
	file := filepath.Join(t.TempDir(), "timeline.svg")
	require.NoError(t, losses.Timeline.Plot(file))
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Contains(t, string(data), "<svg")
	require.Error(t, losses.Timeline.Plot(filepath.Join(t.TempDir(), "no", "such.svg")))
}

func TestRequestCauses(t *testing.T) {
	for kind, want := range map[string]Cause{
		"cancelled": CauseCallerGone, "log_unavailable": CauseStarting, "not_ready": CauseStarting, "leaving": CauseStopping, "no_server": CauseNoServer, "quarantined": CausePoisonRequest,
		"overloaded": CauseRefused, "deadline_exceeded": CauseServerUnresponsive, "outcome_unknown": CauseUnknown, "too_large": CauseConfiguration,
	} {
		losses := NewLosses()
		scanText(t, record(0, "front: Request failed.", `"id":"q","path":"/a/b","kind":"`+kind+`"`), losses.Add)
		require.Equal(t, want, losses.Rows()[0].Cause, kind)
	}
	for end, want := range map[string]Cause{"broken": CauseConnectionBroken, "never": CauseServerFailed, "too_old": CauseStaleWeights, "refused": ""} {
		require.Equal(t, want, streamEndCause(end), end)
	}
}

// A request's fingerprint finds all crashes that its attempts caused, in all processes.
func TestTracePoisonRequest(t *testing.T) {
	tracer := NewTracer("0011223344556677")
	lines := []string{
		record(0, "forward: A server ended under a request.", `"id":"a1","request":"0011223344556677","server":"s1"`),
		record(1, "forward: quarantine: A server's end is attributed to a request.", `"from":"peer","request":"0011223344556677","server":"s1"`),
		record(2, "forward: A server ended under a request.", `"id":"b1","request":"ffffffffffffffff","server":"s1"`),
	}
	scanText(t, strings.Join(lines, ""), tracer.Add)
	require.Len(t, tracer.Decisions(), 2)
}

// The trace of a sample also has the lines about its score and about its job's owners.
func TestTraceSampleAndJob(t *testing.T) {
	tracer := NewTracer("s1")
	scanText(t, sampleLog(), tracer.Add)
	var messages []string
	for _, d := range tracer.Decisions() {
		messages = append(messages, d.Message)
	}
	require.Equal(t, []string{
		"Batch job.", "Sample starts.", "Stream ended early.", "Sample starts.", "No score yet.", "Try.", "Sample done.", "Batch job is over.",
	}, messages)
	var out bytes.Buffer
	require.NoError(t, tracer.Write(&out))
	require.Contains(t, out.String(), "why=broken")

	jobTracer := NewTracer("j")
	scanText(t, sampleLog(), jobTracer.Add)
	require.Len(t, jobTracer.Decisions(), 4, "the lines about the job itself")
	require.ErrorIs(t, NewTracer("nobody").Write(&out), ErrNotFound)
}

// The memory is bounded for any number of ids in the logs.
func TestMemoryIsBounded(t *testing.T) {
	losses := NewLosses()
	for i := range 2 * maxFailedAttempts {
		l := Line{Message: "Try failed.", At: time.Unix(int64(i), 0), Fields: Fields{ID: fmt.Sprint(i)}}
		losses.Add(&l)
	}
	require.LessOrEqual(t, len(losses.lastFailures), maxFailedAttempts)
	require.LessOrEqual(t, len(losses.Timeline.Seconds), maxSeconds)
	for i := range maxRows + 10 {
		l := Line{Message: "Request failed.", Fields: Fields{Path: fmt.Sprintf("/p%d/x", i)}}
		losses.Add(&l)
	}
	require.Len(t, losses.Rows(), maxRows)
	require.Equal(t, 10, losses.Dropped)
}

// Reading arbitrary bytes neither fails nor panics, and counts each line at most once.
func TestReadAcceptsAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.OneOf(rapid.String(), rapid.Just(strings.TrimSpace(sampleLog()))), 0, 5).Draw(t, "text"), "\n")
		losses, tracer := NewLosses(), NewTracer("s1")
		stats, err := Read([]string{Stdin}, strings.NewReader(text), nil, func(l *Line) { losses.Add(l); tracer.Add(l) })
		require.NoError(t, err)
		require.LessOrEqual(t, stats.Lines+stats.OtherLines+stats.Bad, strings.Count(text, "\n")+1)
	})
}

// BenchmarkLosses measures the time per line: about 12 us, so a gigabyte of logs takes
// about 40 s.
func BenchmarkLosses(b *testing.B) {
	text := sampleLog()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		losses := NewLosses()
		scanText(b, text, losses.Add)
	}
}

// The trace of a duty shows which process had it and when, for example after usage was
// reported twice.
func TestTraceDuty(t *testing.T) {
	tracer := NewTracer("usage")
	scanText(t, record(0, "usage: duties: This process has a duty.", `"duty":"usage","token":7`)+
		record(5, "usage: Usage reported.", `"duty":"usage","window":3,"token":7,"requests":2`)+
		record(6, "usage: Usage reported.", `"duty":"other","window":3`)+
		record(9, "usage: duties: This process no longer has a duty.", `"duty":"usage","token":7`), tracer.Add)
	var messages []string
	for _, d := range tracer.Decisions() {
		messages = append(messages, d.Message)
	}
	require.Equal(t, []string{"This process has a duty.", "Usage reported.", "This process no longer has a duty."}, messages)
}
