package ctl

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/fold/control"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// fakeLog is a control stream that can be made to fail.
type fakeLog struct {
	mu          sync.Mutex
	records     []platform.Record
	first       uint64 // offset of the first record that is not truncated
	unavailable bool
	appends     int
	// onAppend replaces the append if it is not nil; it may call add.
	onAppend func(data []byte) error
}

func (l *fakeLog) add(data []byte) uint64 {
	offset := uint64(len(l.records))
	l.records = append(l.records, platform.Record{Offset: offset, Time: time.Unix(1_800_000_000, 0), Data: data})
	return offset
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.unavailable {
		return 0, platform.ErrLogUnavailable
	}
	if l.onAppend != nil {
		return 0, l.onAppend(data)
	}
	return l.add(data), nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, limit int, _ time.Duration) (platform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := platform.Page{Next: from, First: l.first, End: uint64(len(l.records))}
	if l.unavailable {
		return platform.Page{}, platform.ErrLogUnavailable
	}
	if from < l.first {
		return page, platform.ErrTruncated
	}
	last := min(from+uint64(limit), page.End)
	page.Records, page.Next = l.records[from:last], last
	return page, nil
}

type fakeVMList []platform.VM

func (v fakeVMList) List(context.Context) ([]platform.VM, error) { return v, nil }

// harness runs dandelionctl against fakes.
type harness struct {
	t    *testing.T
	log  *fakeLog
	vms  fakeVMList
	key  string // path of the private key file
	priv ed25519.PrivateKey
	dir  string
}

func newHarness(t *testing.T) *harness {
	b := &harness{t: t, log: &fakeLog{}, dir: t.TempDir()}
	b.priv = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	b.key = b.file("key", manifest.FormatPrivateKey("k", b.priv))
	return b
}

func (b *harness) file(name, text string) string {
	path := filepath.Join(b.dir, name)
	require.NoError(b.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (b *harness) manifest(tag string) string {
	return b.file(tag+".ini", manifestText(tag))
}

func manifestText(tag string) string { return "[fleet]\nname = " + tag + "\n" }

func (b *harness) revision(number, parent uint64, tag string) *pb.SignedRevision {
	return manifest.Sign(b.priv, "k", number, parent, []byte(manifestText(tag)))
}

func (b *harness) public() string {
	return manifest.FormatPublicKey("k", b.priv.Public().(ed25519.PublicKey))
}

func (b *harness) run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	t := &tool{
		stdout: &out, stderr: &err,
		newLog: func(string) platform.Log { return b.log },
		newVMs: func(string) platform.VMList { return b.vms },
	}
	code = t.run(b.t.Context(), args)
	return code, out.String(), err.String()
}

func (b *harness) commit(args ...string) (int, commitReport, string) {
	code, out, stderr := b.run(append([]string{"commit", "--log", "http://127.0.0.1:1", "--key", b.key, "--output", "json"}, args...)...)
	var report commitReport
	if out != "" {
		require.NoError(b.t, json.Unmarshal([]byte(out), &report))
	}
	return code, report, stderr
}

func TestCommitOverNewestRevision(t *testing.T) {
	b := newHarness(t)
	code, report, _ := b.commit(b.manifest("a"))
	require.Equal(t, ExitOK, code)
	require.Equal(t, uint64(1), report.Number)
	code, report, _ = b.commit(b.manifest("b"))
	require.Equal(t, ExitOK, code)
	require.Equal(t, outcomeAccepted, report.Outcome)
	require.Equal(t, [2]uint64{2, 1}, [2]uint64{report.Number, report.Parent})
	code, report, _ = b.commit(b.manifest("b"))
	require.Equal(t, ExitOK, code)
	require.Equal(t, outcomeInForce, report.Outcome)
	require.Len(t, b.log.records, 2, "a repeated commit of the same manifest adds no record")
	code, _, stderr := b.commit("--parent", "1", b.manifest("c"))
	require.Equal(t, ExitRaceLost, code)
	require.Contains(t, stderr, "revision 2 is in force, not 1")
}

// Two operators commit at the same time and the other one's record comes first. Every
// process rejects the second record, and the command reports the revision that won.
func TestCommitLosesRace(t *testing.T) {
	b := newHarness(t)
	b.log.onAppend = func(data []byte) error {
		b.log.add(control.EncodeCommit("other", b.revision(1, 0, "other")))
		b.log.add(data)
		return nil
	}
	code, report, stderr := b.commit(b.manifest("mine"))
	require.Equal(t, ExitRaceLost, code)
	require.Equal(t, manifest.Hash([]byte(manifestText("other"))), report.Winner.Hash)
	require.Contains(t, stderr, "not accepted: revision 1")
	require.Contains(t, stderr, "won the race")
}

// The append succeeded but its answer was lost. The command must find the record in
// the stream and must not append a second one, which would be another commit.
func TestCommitFindsRecordAfterLostAnswer(t *testing.T) {
	b := newHarness(t)
	b.log.onAppend = func(data []byte) error {
		b.log.add(data)
		return platform.ErrAppendUnknown
	}
	code, report, _ := b.commit(b.manifest("a"))
	require.Equal(t, ExitOK, code)
	require.Equal(t, outcomeAccepted, report.Outcome)
	require.Equal(t, 1, b.log.appends)
}

// The answer of the append was lost and the record is not in the stream. It may still
// arrive, so the command must report neither "accepted" nor "not accepted".
func TestCommitOutcomeUnknownWithoutRecord(t *testing.T) {
	b := newHarness(t)
	b.log.onAppend = func([]byte) error { return platform.ErrAppendUnknown }
	code, report, stderr := b.commit("--timeout", "100ms", b.manifest("a"))
	require.Equal(t, ExitUnknown, code)
	require.Equal(t, outcomeUnknown, report.Outcome)
	require.Contains(t, stderr, "outcome unknown")
	require.Equal(t, 1, b.log.appends)
}

func TestCommitWhileLogUnavailableOrRateLimited(t *testing.T) {
	b := newHarness(t)
	b.log.unavailable = true
	code, report, stderr := b.commit(b.manifest("a"))
	require.Equal(t, ExitFailed, code)
	require.Equal(t, outcomeNotAccepted, report.Outcome)
	require.Contains(t, stderr, "not accepted")

	b.log.unavailable = false
	b.log.onAppend = func([]byte) error { return platform.ErrLogUnavailable }
	code, _, stderr = b.commit(b.manifest("a"))
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "not accepted")

	b.log.onAppend = func([]byte) error {
		b.log.onAppend = nil
		return platform.ErrRate
	}
	code, report, _ = b.commit(b.manifest("a"))
	require.Equal(t, ExitOK, code)
	require.Equal(t, uint64(1), report.Number)
}

// The log has truncated the winner of a race but not its loser. Every process would
// reject a commit over the loser, so the command refuses to commit until a process
// has reappended the revision in force. --after is for a log without any revision,
// where no process can reappend it.
func TestCommitAfterTruncation(t *testing.T) {
	b := newHarness(t)
	b.log.add(control.EncodeCommit("a", b.revision(1, 0, "winner")))
	b.log.add(control.EncodeCommit("b", b.revision(1, 0, "loser")))
	writer := control.New(manifest.Keys{"k": b.priv.Public().(ed25519.PublicKey)})
	writer.Apply(b.log.records[0])
	b.log.first = 1
	code, _, stderr := b.commit(b.manifest("c"))
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "--after")

	data, ok := writer.EncodeReappend("r")
	require.True(t, ok)
	b.log.add(data)
	code, report, _ := b.commit(b.manifest("c"))
	require.Equal(t, ExitOK, code)
	require.Equal(t, uint64(2), report.Number)
	code, _, _ = b.commit("--after", "7", b.manifest("d"))
	require.Equal(t, ExitUsage, code)

	b.log.first = uint64(len(b.log.records))
	code, report, _ = b.commit("--after", "7", b.manifest("d"))
	require.Equal(t, ExitOK, code)
	require.Equal(t, uint64(8), report.Number)
}

// Another operator's key signs revisions too. If that key is not given, the command
// would ignore these revisions as forged, commit over an older one, and wrongly see
// its own commit accepted.
func TestUnknownKey(t *testing.T) {
	b := newHarness(t)
	other := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	b.log.add(control.EncodeCommit("a", manifest.Sign(other, "other", 1, 0, []byte(manifestText("a")))))
	code, _, stderr := b.commit(b.manifest("b"))
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, `signed by key "other"`)
	code, report, _ := b.commit("--public", manifest.FormatPublicKey("other", other.Public().(ed25519.PublicKey)), b.manifest("b"))
	require.Equal(t, ExitOK, code)
	require.Equal(t, uint64(2), report.Number)
	code, _, stderr = b.commit("--public", manifest.FormatPublicKey("k", other.Public().(ed25519.PublicKey)), b.manifest("c"))
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "private half")
}

// startProcess serves the HTTP endpoints of a process and returns its address. Each
// query of the status raises the revision by one.
func startProcess(t *testing.T, name string, revision *atomic.Uint64) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/status":
			_ = json.NewEncoder(w).Encode(map[string]any{"name": name, "role": "entry", "revision": revision.Add(1) - 1, "ready": true})
		case "/v1/explain/r1":
			if r.Header.Get("Authorization") != "Bearer op" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
			_ = json.NewEncoder(w).Encode(explanation{ID: "r1", Decisions: []decision{
				{AtMS: 2, Process: "agent-1", What: "refused", Why: "queue full"}, {AtMS: 1, Process: name, What: "picked agent-1"},
			}})
		default:
			http.NotFound(w, r)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestWaitUntilInForce(t *testing.T) {
	b := newHarness(t)
	var revision atomic.Uint64 // raised by each poll
	addr := startProcess(t, "entry-1", &revision)
	code, report, _ := b.commit("--wait", "--processes", addr, b.manifest("a"))
	require.Equal(t, ExitOK, code)
	require.True(t, *report.InForce)
	code, _, stderr := b.commit("--wait", b.manifest("b"))
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "--processes or --vms")
	require.Len(t, b.log.records, 1, "the missing flag is reported before the commit")
	code, report, stderr = b.commit("--wait", "--timeout", "300ms", "--processes", addr+",127.0.0.1:1", b.manifest("b"))
	require.Equal(t, ExitNotEverywhere, code)
	require.Contains(t, stderr, "127.0.0.1:1")
	require.Equal(t, outcomeAccepted, report.Outcome)
	require.Equal(t, "127.0.0.1:1", report.Behind[len(report.Behind)-1].Name)
}

// fakePeer answers as a process with a fixed revision.
type fakePeer struct {
	pb.UnimplementedPeerServer
	revision uint64
}

func (p fakePeer) Exchange(context.Context, *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	return &pb.ExchangeReply{Revision: p.revision, Hash: "abc"}, nil
}

func TestStatusByVMList(t *testing.T) {
	b := newHarness(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	pb.RegisterPeerServer(server, fakePeer{revision: 3})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	b.vms = fakeVMList{{Name: "agent-1", Role: "agent", Addr: listener.Addr().String(), State: platform.VMLeaving}}
	b.log.add(control.EncodeCommit("a", b.revision(1, 0, "a")))
	b.log.add(control.EncodeVersion("v", "m", 5))

	code, out, stderr := b.run("status", "--log", "http://127.0.0.1:1", "--public", b.public(), "--vms", "http://127.0.0.1:1")
	require.Equal(t, ExitOK, code, stderr)
	require.Regexp(t, `(?m)^revision +1$`, out)
	require.Regexp(t, `(?m)^weights of m +5$`, out)
	require.Regexp(t, `(?m)^agent-1 +agent +\S+ +3 +abc +- +true`, out)
	b.log.unavailable = true
	code, out, stderr = b.run("status", "--log", "http://127.0.0.1:1", "--public", b.public(), "--vms", "http://127.0.0.1:1")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, out, "agent-1", "the processes are listed although the log is unavailable")
	require.Contains(t, stderr, "log")
}

func TestWatchDiffExplainKeygen(t *testing.T) {
	b := newHarness(t)
	b.log.add(control.EncodeCommit("a", b.revision(1, 0, "a")))
	withLog := []string{"--log", "http://127.0.0.1:1", "--public", b.public()}
	code, out, _ := b.run(append([]string{"watch", "--timeout", "50ms"}, withLog...)...)
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "accepted  revision 1")

	code, out, _ = b.run(append(append([]string{"diff"}, withLog...), b.manifest("b"))...)
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `\[fleet\] +name +a +→ +b`, out)
	code, out, _ = b.run("diff", "--output", "json", b.manifest("a"), b.file("c.ini", manifestText("a")+"weigh = staleness\n[model m]\n"))
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, `{"section":"fleet","key":"weigh","before":"idle","after":"staleness"}`)
	require.Contains(t, out, `{"section":"model m","key":"swap_grace","before":"","after":"1s"}`)

	var revision atomic.Uint64
	addr := startProcess(t, "entry-1", &revision)
	code, out, _ = b.run("explain", "--token", "op", "--entries", addr, "r1")
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `(?s)picked agent-1.*refused +queue full`, out)
	for token, id := range map[string]string{"op": "r2", "x": "r1"} {
		code, _, _ = b.run("explain", "--token", token, "--entries", addr, id)
		require.Equal(t, ExitFailed, code)
	}

	path := filepath.Join(b.dir, "new")
	code, out, _ = b.run("keygen", "--id", "k2", path)
	require.Equal(t, ExitOK, code)
	_, err := manifest.ParseKeys([]string{strings.TrimSpace(out)})
	require.NoError(t, err)
	code, _, _ = b.run("keygen", "--id", "k2", path)
	require.Equal(t, ExitFailed, code, "a key is never overwritten")
}

func TestUsage(t *testing.T) {
	b := newHarness(t)
	for args, want := range map[string]string{
		"":                               "USAGE",
		"chek":                           `no command "chek"; did you mean "check"?`,
		"explain --entries 1.2.3.4:5":    "explain takes ID, not 0",
		"explain --entries 1.2.3.4:5 x":  "--token is missing",
		"explain --timeout soon x":       `invalid value "soon"`,
		"check a.ini b.ini":              "check takes FILE, not 2",
		"status --processes localhost:1": `"localhost:1" is not IP:port`,
		"commit --parent -1 " + b.key:    "-parent",
		"--bogus":                        "not defined: -bogus",
		"check":                          "check takes FILE",
		"check --output xml x":           `--output "xml"`,
		"commit --bogus x":               "not defined: -bogus",
		"commit x --wait":                "flags go first",
		"commit " + b.manifest("a"):      "--key is missing",
		"status":                         "--log, --processes or --vms",
		"status --log http://h:1":        "--public is missing",
		"watch --public k:AA":            "--public",
		"explain --entries h:1 x":        `"h:1" is not IP:port`,
		"keygen --id a.b x":              "--id",
		"commit --key " + b.key + " " + b.manifest("a"):                     "--log is missing",
		"commit --log http://host:1 --key " + b.key + " " + b.manifest("a"): "--log",
	} {
		code, _, stderr := b.run(strings.Fields(args)...)
		require.Equal(t, ExitUsage, code, args)
		require.Contains(t, stderr, want, args)
	}
	t.Setenv("DANDELIONCTL_LGO", "http://127.0.0.1:1")
	code, _, stderr := b.run("status")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, `DANDELIONCTL_LGO; did you mean "DANDELIONCTL_LOG"?`)
	require.NoError(t, os.Unsetenv("DANDELIONCTL_LGO"))
	code, out, stderr := b.run("check", "--output", "json", b.file("bad.ini", "[fleet]\nnam = a\n"))
	require.Equal(t, ExitFailed, code)
	require.Contains(t, out, `"key":"nam","message":"is not a key of this section","nearest":"name"`)
	require.Contains(t, stderr, "did you mean")
	code, _, _ = b.run("commit", "-h")
	require.Equal(t, ExitOK, code)
}

// The commands trace and losses read log files and report the lines that they can't
// parse. trace fails if no line has the id.
func TestTraceAndLosses(t *testing.T) {
	b := newHarness(t)
	line := `{"ts":"2026-01-02T07:00:00.000Z","msg":"gateway: front: Request failed.","id":"q1","path":"/a/b","kind":"no_server","not_run":true}`
	file := b.file("vm.log", line+"\n{\n")
	code, out, errs := b.run("losses", file)
	require.Zero(t, code)
	require.Contains(t, out, "no server")
	require.Contains(t, errs, "vm.log:2: can't be read")
	code, out, _ = b.run("losses", "--json", file)
	require.Zero(t, code)
	require.Contains(t, out, `"cause":"no server"`)
	code, _, errs = b.run("losses", "-")
	require.Zero(t, code, errs) // standard input, which has no lines here
	code, out, _ = b.run("trace", "q1", file)
	require.Zero(t, code)
	require.Contains(t, out, "kind=no_server")
	code, _, errs = b.run("trace", "q2", file)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, errs, "no line speaks of it")
	code, _, _ = b.run("losses", b.file("x", "")+"-is-not-there")
	require.Equal(t, ExitUsage, code)
}

// The command permits shows who waits at a broker and which servers it has ejected.
func TestPermits(t *testing.T) {
	b := newHarness(t)
	line := func(message, fields string) string {
		return `{"ts":"2026-01-02T07:00:00.000Z","msg":"gateway: permits: ` + message + `","service":"ledger",` + fields + "}\n"
	}
	file := b.file("vm-1.log", line("Load of a service.", `"places":6,"in_use":5,"waiting":88,"refused":7,"oldest_wait":"50ms","top":"o 86/4, p 2/1"`)+
		line("A server is ejected.", `"server":"i-1","why":"failing","age":"250ms"`))
	code, out, errs := b.run("permits", file)
	require.Zero(t, code, errs)
	for _, want := range []string{"ledger", "vm-1", "5 of 6", "88", "50ms", "o 86/4, p 2/1", "i-1", "ejected", "failing", "250ms"} {
		require.Contains(t, out, want)
	}
	code, out, errs = b.run("permits", "--json", file)
	require.Zero(t, code, errs)
	require.Contains(t, out, `"most_waiting":88`)
}
