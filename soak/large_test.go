package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"dandelionsill.org/platform/hosted/hostedtest"
)

const (
	maxLargeBytes = 1 << 20 // the configuration's limit for bodies
	// slowReadBytes are read at a time by a slow reader, with a pause of slowReadPause: faster
	// than the pace below which gateways close connections.
	slowReadBytes = 32 << 10
	slowReadPause = 20 * time.Millisecond
)

// sendLarge sends large bodies and reads large answers slowly, or not at all, until ctx ends.
func (c *client) sendLarge(ctx context.Context, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		id, size := fmt.Sprintf("%s-%d", name, n), 1+c.rng.IntN(maxLargeBytes)
		switch c.rng.IntN(3) {
		case 0:
			status, header, body := c.ask(ctx, c.randomGateway(), http.MethodPost, "/score/x", id, make([]byte, size))
			c.checkAnswer(id, false, 0, status, header, body)
		case 1:
			c.readSlowly(id, size, size)
		default:
			c.readSlowly(id, size, size/8)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rng.IntN(100)) * time.Millisecond):
		}
	}
}

// readSlowly requests an answer with so many bytes of filler, reads about the first bytes of it
// slowly and closes the connection.
func (c *client) readSlowly(id string, filler, first int) {
	conn, err := net.DialTimeout("tcp", c.randomGateway().listen, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // longer than a slow read takes
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://app.example/score/x?%s=%d", hostedtest.QueryFiller, filler), nil)
	if err != nil {
		panic(err) // the test built the URL
	}
	r.Header.Set(hostedtest.HeaderAttempt, id)
	r.Header.Set(hostedtest.HeaderKey, c.key())
	r.Header.Set("Connection", "close")
	if r.Write(conn) != nil {
		return
	}
	var raw bytes.Buffer
	for first > raw.Len() || first == filler {
		if _, err := io.CopyN(&raw, conn, slowReadBytes); err != nil {
			break
		}
		time.Sleep(slowReadPause) // the reader's pace
	}
	if first == filler {
		c.checkRaw(id, filler, &raw)
	}
}

// checkRaw checks an answer with a header. One that broke off counts as none, which is a violation
// if the system has no faults.
func (c *client) checkRaw(id string, filler int, raw *bytes.Buffer) {
	resp, err := http.ReadResponse(bufio.NewReader(raw), nil)
	if err != nil {
		return // the connection broke, or the gateway was not reached
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		c.checkAnswer(id, false, filler, resp.StatusCode, resp.Header, body)
	} else if c.faultless {
		c.rec.reportViolation("request %s: a slow reader got %d of about %d bytes", id, len(body), filler)
	}
}
