package crowd

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxWait bounds waits for a condition. No check depends on its length.
	maxWait = 30 * time.Second
	// sampleInterval is how often memory and descriptors of a process are read.
	sampleInterval = 10 * time.Millisecond
	// maxFiles is the limit on the open descriptors of a process under test.
	maxFiles = 400
	// reservedFiles is how many descriptors clients must leave to a process, for the store, backend
	// servers, peers and readiness checks.
	reservedFiles = 100
)

// process is a process under test.
type process struct {
	pid       int
	kill      func() // ends the process and waits for its end
	logFile   string
	listeners []string // IP:port of each of its listeners
	done      chan struct{}
}

// start starts a binary with a limit on its descriptors. It is killed at the end of the test.
func start(t *testing.T, listeners []string, binary string, args ...string) *process {
	t.Helper()
	p := &process{logFile: filepath.Join(t.TempDir(), "log"), listeners: listeners, done: make(chan struct{})}
	out, err := os.Create(p.logFile)
	require.NoError(t, err)
	command := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxFiles)
	cmd := exec.Command("sh", append([]string{"-c", command, binary}, args...)...)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(t, cmd.Start())
	p.pid = cmd.Process.Pid
	go func() {
		defer close(p.done)
		_ = cmd.Wait() // the tests only check whether the process runs
		_ = out.Close()
	}()
	p.kill = func() {
		_ = cmd.Process.Kill() // it may have ended already
		<-p.done
	}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", filepath.Base(binary), p.endOfLog())
		}
	})
	return p
}

func (p *process) endOfLog() string {
	const maxBytes = 4 << 10
	log, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	return string(log[max(0, len(log)-maxBytes):])
}

func (p *process) runs() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// usage is what a process held at most while it was watched.
type usage struct {
	residentBytes, kernelBytes, totalBytes, files int64
}

func (u usage) String() string {
	return fmt.Sprintf("%d MB resident, %d MB in the kernel, %d MB together, %d descriptors", u.residentBytes/1e6, u.kernelBytes/1e6, u.totalBytes/1e6, u.files)
}

// watch reads what the process holds until the returned function is called, which returns the maxima.
func (p *process) watch() (stop func() usage) {
	var most usage
	var stopped atomic.Bool
	var reader sync.WaitGroup
	reader.Go(func() {
		for !stopped.Load() && p.runs() {
			resident, kernel := p.residentBytes("VmRSS:"), p.kernelBytes()
			most.kernelBytes = max(most.kernelBytes, kernel)
			most.totalBytes = max(most.totalBytes, resident+kernel)
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid)) // empty once the process has ended
			most.files = max(most.files, int64(len(files)))
			time.Sleep(sampleInterval)
		}
		most.residentBytes = p.residentBytes("VmHWM:")
		most.totalBytes = max(most.totalBytes, most.residentBytes)
	})
	return func() usage {
		stopped.Store(true)
		reader.Wait()
		return most
	}
}

// residentBytes returns a value of the process's memory; 0 if it has ended.
func (p *process) residentBytes(field string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), field)
	line, _, _ := strings.Cut(rest, "\n")
	kB, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(line), "kB")), 10, 64)
	return kB * 1024
}

// kernelBytes returns how many bytes the kernel holds for connections to the process's listeners: those that clients have sent
// and that the process has not read yet, which a platform counts as memory of the process, and those of answers that clients
// have not taken.
func (p *process) kernelBytes() int64 {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = table.Close() }()
	local := map[string]bool{}
	for _, addr := range p.listeners {
		local[kernelAddr(addr)] = true
	}
	const established = "01"
	sum := int64(0)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !local[fields[1]] || fields[3] != established {
			continue
		}
		unsent, unread, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{unsent, unread} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += n
		}
	}
	return sum
}

// kernelAddr returns an IPv4 address and port in the form of /proc/net/tcp.
func kernelAddr(addr string) string {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return ""
	}
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// freeAddr returns an address that no listener has. Its port is below those of outgoing connections.
func freeAddr(t *testing.T) string {
	t.Helper()
	const first, end = 12000, 32000
	for range end - first {
		addr := fmt.Sprintf("127.0.0.1:%d", first+(int(nextPort.Add(1))+os.Getpid()*37)%(end-first))
		if l, err := net.Listen("tcp", addr); err == nil {
			require.NoError(t, l.Close())
			return addr
		}
	}
	require.FailNow(t, "no free port")
	return ""
}

var nextPort atomic.Uint32
