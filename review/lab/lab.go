// Package lab starts the project's programs as processes on loopback addresses, with the
// settings of a small deployment, and records what a case sees.
package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Lab holds the processes and the record of one case.
type Lab struct {
	root    string // of the repository
	dir     string // temporary folder
	record  *os.File
	started time.Time

	mu        sync.Mutex
	processes map[string]*process
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// Run runs a case and exits with its result. Usage: PROGRAM ROOT RECORD.
func Run(run func(l *Lab, trouble bool) (broken bool, err error)) {
	os.Exit(runCase(run))
}

func runCase(run func(l *Lab, trouble bool) (broken bool, err error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM ROOT RECORD")
		return ExitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer record.Close()
	l := &Lab{root: os.Args[1], dir: dir, record: record, started: time.Now(), processes: map[string]*process{}}
	defer l.stopAll()
	trouble := os.Getenv("TROUBLE") != "0"
	l.Note("trouble: %v", trouble)
	broken, err := run(l, trouble)
	switch {
	case err != nil:
		l.Note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return ExitNotRun
	case broken:
		l.Note("result: the rule was broken")
		fmt.Println("broken")
		return ExitBroken
	}
	l.Note("result: the rule held")
	fmt.Println("held")
	return ExitHeld
}

// Note writes a line into the record, with the time since the start of the case.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// At returns a time as the record shows it.
func (l *Lab) At(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(l.started).Seconds()) }

// FreeAddr returns a loopback address with a free port. The port is below those that the system
// gives to outgoing connections and to the stand-ins, so that none of them takes it meanwhile.
func FreeAddr() string {
	const first, count = 10000, 20000
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count))
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			_ = listener.Close()
			return addr
		}
	}
}

// Start starts a program of target/ with settings, as the deploy file does, and writes its
// output into the temporary folder.
func (l *Lab) Start(name, program, settings string) error {
	file := filepath.Join(l.dir, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(l.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(l.root, "target", program), "--config", file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = l.root, out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(p.done) }()
	l.mu.Lock()
	l.processes[name] = p
	l.mu.Unlock()
	l.Note("process %s is started: %s", name, program)
	return nil
}

// Kill ends a process by SIGKILL.
func (l *Lab) Kill(name string) {
	l.mu.Lock()
	p := l.processes[name]
	delete(l.processes, name)
	l.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	l.Note("process %s is killed", name)
}

func (l *Lab) stopAll() {
	l.mu.Lock()
	names := make([]string, 0, len(l.processes))
	for name := range l.processes {
		names = append(names, name)
	}
	l.mu.Unlock()
	for _, name := range names {
		l.Kill(name)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(l.dir, "*.log"))
		for _, file := range logs {
			data, _ := os.ReadFile(file)
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(file)), data, 0o600)
		}
	}
}

// Eventually waits until holds returns true; false: it did not within the time.
func Eventually(ctx context.Context, limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; {
		if holds() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return holds()
}
