package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

const (
	// graceTime is the time between SIGTERM and SIGKILL of a planned stop.
	graceTime = 4 * time.Second
	// excusedTime is how long after SIGTERM a request may be sent that the kill may cut off.
	excusedTime = graceTime * 3 / 8
	// keptCallers is the number of callers that keep a connection open and send a stream over it while
	// their gateway stops; the first begunStreams do so before.
	keptCallers  = 24
	begunStreams = 4
	// streamSlowdown makes a stream last for most of the grace period.
	streamSlowdown = 7
)

// keptStream is a stream that was sent over a connection that was kept open.
type keptStream struct {
	id     string
	sentAt time.Duration // after SIGTERM
	status int           // 0: no complete answer
	err    error
}

// verifyStop stops a gateway while nothing else is wrong, with SIGTERM and SIGKILL after the grace period, and callers send streams
// over connections that they keep open. What reaches an engine must be answered in full.
func (sys *system) verifyStop(rec *record, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 50))
	g := sys.gatewayProcs[rng.IntN(len(sys.gatewayProcs))]
	for _, e := range sys.engines {
		e.Fail(hostedtest.ServerFaults{Slowdown: streamSlowdown})
	}
	streams := make([]*keptStream, keptCallers)
	var connected, callers sync.WaitGroup
	stopped := make(chan time.Time)
	for i := range streams {
		s := &keptStream{id: fmt.Sprintf("kept-%d", i), sentAt: time.Duration(rng.Int64N(int64(graceTime)))}
		if i < begunStreams {
			s.sentAt = 0
		}
		streams[i] = s
		connected.Add(1)
		key := sys.currentKey()
		callers.Go(func() { s.status, s.err = sendKept(g, s, key, connected.Done, stopped) })
	}
	connected.Wait()
	g.signal(syscall.SIGTERM, true)
	at := time.Now()
	kill := time.AfterFunc(graceTime, func() { g.signal(syscall.SIGKILL, true) })
	for range streams {
		stopped <- at
	}
	callers.Wait()
	<-g.exited()
	kill.Stop()
	sys.judgeKept(rec, g, streams)
}

// judgeKept compares the answers of the streams with what engines received.
func (sys *system) judgeKept(rec *record, g *process, streams []*keptStream) {
	reached := map[string]bool{}
	for _, e := range sys.engines {
		for _, a := range e.Arrivals() {
			reached[a.ID] = reached[a.ID] || a.Executed
		}
	}
	for _, s := range streams {
		switch {
		case s.err != nil && reached[s.id] && s.sentAt > excusedTime:
			rec.reportViolation("stream %s, sent %v after SIGTERM of %s, was cut off: %v", s.id, s.sentAt, g.name, s.err)
		case (outcome{status: s.status}).isNotRun() && reached[s.id]:
			rec.reportViolation("stream %s, sent %v after SIGTERM of %s, was answered %d (not run) but has run", s.id, s.sentAt, g.name, s.status)
		}
	}
}

// sendKept uses a connection once, and sends a stream over it at its time after the stop.
func sendKept(g *process, s *keptStream, key string, connected func(), stopped <-chan time.Time) (int, error) {
	conn, err := net.DialTimeout("tcp", g.listen, time.Second)
	var reader *bufio.Reader
	if err == nil {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(3 * graceTime)) // so that a lost answer does not hang the test
		reader = bufio.NewReader(conn)
		_, _, err = exchange(conn, reader, "/score/x", "before-"+s.id, key)
	}
	connected()
	at := <-stopped
	if err != nil {
		return 0, nil // the stream is not sent
	}
	time.Sleep(time.Until(at.Add(s.sentAt))) // the caller's time
	status, body, err := exchange(conn, reader, "/chat/x", s.id, key)
	if err == nil && status == http.StatusOK {
		err = checkEvents(body, s.id)
	}
	return status, err
}

// exchange sends a request over a connection and reads the whole answer.
func exchange(conn net.Conn, reader *bufio.Reader, path, id, key string) (int, string, error) {
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: app.example\r\n%s: %s\r\n%s: %s\r\n%s: 12000\r\n%s: %s\r\nContent-Length: 1\r\n\r\nx",
		path, hostedtest.HeaderAttempt, id, hostedtest.HeaderKey, key, hostedtest.HeaderDeadline, hostedtest.HeaderModel, modelName)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// checkEvents checks that a stream has each event once and in order.
func checkEvents(body, id string) error {
	reader := hosted.NewEventReader(strings.NewReader(body))
	var got []string
	for {
		event, err := reader.Next()
		if err != nil {
			break
		}
		got = append(got, event.Data)
	}
	if text := strings.Join(got, "\n"); text != hostedtest.Text(id, len(got)) || len(got) != engineEvents {
		return fmt.Errorf("%d events", len(got))
	}
	return nil
}
