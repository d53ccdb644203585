package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	beatTimeout  = time.Second
)

// Beat is the body of a heartbeat.
type Beat struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	Cold     float64 `json:"coldRemainingS"`
	Sequence uint64  `json:"callSeq"`
}

// beat sends heartbeats until they are stopped.
func (t *Target) beat() {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		t.SendBeat(t.NextBeat())
		select {
		case <-t.stopBeat:
			return
		case <-tick.C:
		}
	}
}

// StopBeats ends the target's heartbeats.
func (t *Target) StopBeats() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.stopBeat:
	default:
		close(t.stopBeat)
	}
}

// NextBeat returns the target's next heartbeat.
func (t *Target) NextBeat() Beat {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return Beat{
		Service: t.machine.Service, Address: t.machine.App(), Zone: t.machine.Zone, Version: "v1", Slots: slots, State: "ready", Sequence: t.sequence,
	}
}

// SendBeat sends a heartbeat and reports whether it was acknowledged.
func (t *Target) SendBeat(b Beat) bool {
	body, err := json.Marshal(b)
	if err != nil {
		return false
	}
	ok := t.call("/-/instances/"+t.ID+"/heartbeat", body)
	t.record.Add("target %s heartbeat callSeq %d state %s acknowledged %v", t.ID, b.Sequence, b.State, ok)
	return ok
}

// Leave says that the target leaves, and reports whether that was acknowledged.
func (t *Target) Leave() bool {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	ok := t.call("/-/instances/"+t.ID+"/leave", nil)
	t.record.Say("target %s says that it leaves, acknowledged %v", t.ID, ok)
	return ok
}

// call makes one call of the target to the node beside it.
func (t *Target) call(path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.machine.Control()+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}
