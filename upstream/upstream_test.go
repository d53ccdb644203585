package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/fault"
)

// endpoint is a scripted endpoint: each request takes the next of its answers, which are written as they stand.
type endpoint struct {
	listener net.Listener
	answers  chan string
	began    atomic.Int64
	conns    atomic.Int64
}

func newEndpoint(t *testing.T) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{listener: l, answers: make(chan string, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.conns.Add(1)
			go e.serve(c)
		}
	}()
	return e
}

func (e *endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		e.began.Add(1)
		text := <-e.answers
		// An answer before the body is in: what is still due of the body is read later, as it comes.
		if !strings.Contains(text, "EARLY") {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		text = strings.ReplaceAll(strings.ReplaceAll(text, "EARLY", ""), "ID", req.Header.Get("X-Id"))
		end := ""
		for _, word := range []string{"RESET", "CLOSE"} {
			if strings.Contains(text, word) {
				text, end = strings.ReplaceAll(text, word, ""), word
			}
		}
		_, _ = io.WriteString(c, text)
		if end == "RESET" {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		if end != "" {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

// TestScripts runs the scenarios of testdata. Commands:
//
//	answers                 what the endpoint answers to its next requests, separated by ---; "ID" stands for the
//	                        request's id, RESET and CLOSE end the connection, EARLY answers before the body is read
//	send id=N [body=N] [fresh]   sends a request and prints its answer
//	pause for=20ms
//	counts                  requests begun and connections taken by the endpoint
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		e, pool := newEndpoint(t), NewPool()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "answers":
				for text := range strings.SplitSeq(d.Input, "\n---\n") {
					e.answers <- strings.ReplaceAll(strings.TrimSuffix(text, "\n"), "\n", "\r\n")
				}
			case "send":
				return send(t, d, e, pool)
			case "pause":
				time.Sleep(20 * time.Millisecond)
			case "counts":
				return fmt.Sprintf("requests %d, connections %d\n", e.began.Load(), e.conns.Load())
			default:
				d.Fatalf(t, "no such command")
			}
			return ""
		})
	})
}

func send(t *testing.T, d *datadriven.TestData, e *endpoint, pool *Pool) string {
	t.Helper()
	id, length := "", 0
	d.ScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "body", &length)
	r := Request{
		Address: e.listener.Addr().String(), Method: http.MethodPost, Target: "/a?b=%2F", Host: "x",
		Header: http.Header{"X-Id": {id}}, Body: strings.NewReader(strings.Repeat("b", length)), Length: int64(length),
		Mine: func(_ int, h http.Header) bool { return h.Get("X-Id") == "" || h.Get("X-Id") == id },
	}
	if d.HasArg("fresh") {
		r.Fresh = time.Nanosecond
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := pool.Do(ctx, r)
	if err != nil {
		return string(fault.CodeOf(err)) + "\n"
	}
	body, err := io.ReadAll(resp)
	resp.Close()
	if err != nil {
		return fmt.Sprintf("%d %q broken off\n", resp.StatusCode, body)
	}
	return fmt.Sprintf("%d %q\n", resp.StatusCode, body)
}

// TestUnreachable checks that an endpoint that takes no connection is told apart from one that breaks off.
func TestUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_, err = NewPool().Do(t.Context(), Request{Address: l.Addr().String(), Method: http.MethodGet, Target: "/"})
	if got, want := fault.CodeOf(err), fault.EndpointUnreachable; got != want {
		t.Errorf("code: got %q, want %q", got, want)
	}
}
