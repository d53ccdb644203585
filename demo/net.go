package demo

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

const (
	// Ports below the range that the kernel gives to outgoing connections, which could take a free one in between.
	firstPort = 12000
	portCount = 20000
)

var nextPort atomic.Uint32

// FreePorts returns ports that nobody listens on; no two calls of a process return the same one.
func FreePorts(n int) ([]string, error) {
	out := make([]string, 0, n)
	start := uint32(os.Getpid()) * 131 //nolint:gosec // spreads processes over the range
	for range portCount {
		port := firstPort + (start+nextPort.Add(1))%portCount
		address := "127.0.0.1:" + strconv.Itoa(int(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, fault.New(fault.Unavailable, "loopback", "no free ports")
}

func waitFor(what string, done func() bool) error {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(lookEvery) {
		if done() {
			return nil
		}
	}
	return fault.New(fault.DeadlineExceeded, what, "did not come about")
}

func post(url string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fault.Wrap(err, fault.Internal, url, "cannot be encoded")
	}
	resp, err := http.Post("http://"+url, "application/json", bytes.NewReader(text))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, url, "no answer")
	}
	return resp.Body.Close()
}

// get reads JSON into out, or only checks that the answer is good when out is nil.
func get(url string, out any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+url, nil) //nolint:noctx // bounded by the client
	if err != nil {
		return fault.Wrap(err, fault.Internal, url, "request cannot be built")
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	client := &http.Client{Timeout: waitLimit / 10}
	resp, err := client.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, url, "no answer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, url, "answers "+strconv.Itoa(resp.StatusCode))
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	} else {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	if err != nil {
		return fault.Wrap(err, fault.Protocol, url, "answer cannot be read")
	}
	return nil
}
