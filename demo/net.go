package demo

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

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
