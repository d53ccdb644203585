package scene

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// The figures of the scene limits.
const (
	// oldBody and newBody are the largest bodies before and after the change, sentBody is what clients send after it.
	oldBody, newBody, sentBody = 4 << 10, 64 << 10, 20 << 10
	// rest is how long the connections rest, less than four fifths of idleTimeoutS and longer than configApplyS.
	rest = 6 * time.Second
	// settled is twice touchS.
	settled = 6 * time.Second
	// connsEach is how many connections clients keep to each machine.
	connsEach = 4
	// mostDenied is how many proper requests may be refused, besides one in 500 (DENIED).
	mostDenied, oneIn = 5, 500
)

// kept is a client's kept connection.
type kept struct {
	m    *machine
	conn net.Conn
	in   *bufio.Reader
}

// playLimits plays a change of the configuration that allows longer bodies while clients' connections rest.
func playLimits(s *stage, trouble bool) (broken bool, err error) {
	r := route{prefix: "/book/", kind: "unsafe", service: "desk", timeoutS: 2.5, aimS: 0.8, attempts: 2}
	s.bodyLimit = newBody
	if trouble {
		s.bodyLimit = oldBody
	}
	if err := s.configure(3, r); err != nil {
		return false, err
	}
	machines, err := s.addMachines("desk", machinesInScene)
	if err != nil {
		return false, err
	}
	for i, m := range machines {
		t, err := startTarget(m, fmt.Sprintf("i-%d", i+1), 0, 50*time.Millisecond, nil)
		if err != nil {
			return false, err
		}
		defer t.end()
	}
	// All machines are in touch long before the change.
	time.Sleep(settled)
	var list []*kept
	for _, m := range machines {
		for range connsEach {
			conn, err := net.Dial("tcp", m.outbound)
			if err != nil {
				return false, err
			}
			defer func() { _ = conn.Close() }()
			list = append(list, &kept{m: m, conn: conn, in: bufio.NewReader(conn)})
		}
	}
	s.note("%d connections are opened, each with a request", len(list))
	s.sendOnEach(list, "first", 1<<10)
	s.bodyLimit = newBody
	if err := s.configure(5, r); err != nil {
		return false, err
	}
	s.note("the store has acknowledged version 5: maxBodyBytes %d", newBody)
	time.Sleep(rest)
	denied := s.sendOnEach(list, "second", sentBody)
	s.note("proper requests that were refused with a 4xx of the system: %d of %d", denied, 2*len(list))
	return denied > mostDenied+2*len(list)/oneIn, nil
}

// sendOnEach sends a request on each connection, one after the other, and returns how many were refused with 413 or 431.
func (s *stage) sendOnEach(list []*kept, name string, length int) (denied int) {
	for i, k := range list {
		id := fmt.Sprintf("%s%03d", name, i)
		sentAt := time.Now()
		status, err := k.send(id, length)
		s.note("client request %s, %d bytes, sent at %.3f s to %s on a kept connection: %d %v", id, length, s.since(sentAt), k.m.name, status, err)
		if status == http.StatusRequestEntityTooLarge || status == http.StatusRequestHeaderFieldsTooLarge {
			denied++
		}
	}
	return denied
}

// send sends a request with a body and reads the answer.
func (k *kept) send(id string, length int) (status int, err error) {
	_ = k.conn.SetDeadline(time.Now().Add(5 * time.Second))
	head := fmt.Sprintf("POST /book/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\nContent-Length: %d\r\n\r\n", id, host, headerID, id, headerDeadline, length)
	if _, err := io.WriteString(k.conn, head+strings.Repeat("b", length)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
