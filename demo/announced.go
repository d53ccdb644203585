package demo

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

// AckLimit is how long an endpoint waits for the acknowledgement of what it reports to its node.
const AckLimit = time.Second

// announcedSlots is how many requests an endpoint that announces itself reports to run at once.
const announcedSlots = 8

// Heartbeat is what an endpoint that announces itself reports to the node beside it; another one may be sent later.
type Heartbeat struct {
	// Instance is the name of the endpoint's incarnation; it is not part of the body.
	Instance string `json:"-"`
	// Service is the endpoint's service, Address its IP and port.
	Service string `json:"service"`
	Address string `json:"address"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// State is "ready" or "draining".
	State string `json:"state"`
	// Sequence increases with each heartbeat of the instance.
	Sequence uint64 `json:"callSeq"`
}

// Heartbeat returns a heartbeat of an incarnation of the member's endpoint.
func (m *Member) Heartbeat(service, instance, state string, sequence uint64) Heartbeat {
	return Heartbeat{Instance: instance, Service: service, Address: m.Endpoint, Slots: announcedSlots, State: state, Sequence: sequence}
}

// Report sends a heartbeat to the member's node; Unavailable unless it is acknowledged in time.
func (m *Member) Report(h Heartbeat) error {
	body, err := json.Marshal(h)
	if err != nil {
		return fault.Wrap(err, fault.Internal, h.Instance, "cannot be encoded")
	}
	return m.reportTo("/-/instances/"+h.Instance+"/heartbeat", body)
}

// ReportLeaving tells the member's node that an incarnation of its endpoint leaves; Unavailable unless that is acknowledged in
// time.
func (m *Member) ReportLeaving(instance string) error {
	return m.reportTo("/-/instances/"+instance+"/leave", nil)
}

// reportTo makes one call of an endpoint to the node beside it.
func (m *Member) reportTo(path string, body []byte) error {
	client := &http.Client{Timeout: AckLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+m.Control+path, "application/json", bytes.NewReader(body)) //nolint:noctx // bounded by the client
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, path, "no answer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, path, "answers "+strconv.Itoa(resp.StatusCode))
	}
	return nil
}
