package demo

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/registry"
)

// AckLimit is how long an endpoint waits for the acknowledgement of what it reports to its node.
const AckLimit = time.Second

// announcedSlots is how many requests an endpoint that announces itself reports to run at once.
const announcedSlots = 8

// Heartbeat returns a heartbeat of an incarnation of the member's endpoint, born in milliseconds since 1970 or 0; it may be sent later.
func (m *Member) Heartbeat(service, instance string, born int64, sequence uint64) registry.Heartbeat {
	return registry.Heartbeat{Instance: instance, Born: born, Service: service, Address: m.Endpoint, Slots: announcedSlots, Sequence: sequence}
}

// Report sends a heartbeat to the member's node; Unavailable unless it is acknowledged in time.
func (m *Member) Report(b registry.Heartbeat) error {
	req, err := platform.HeartbeatRequest(m.Control, b)
	return report(req, err)
}

// ReportLeaving tells the member's node that an incarnation of its endpoint leaves; Unavailable unless that is acknowledged in
// time.
func (m *Member) ReportLeaving(instance string, born int64) error {
	req, err := platform.LeaveRequest(m.Control, instance, born)
	return report(req, err)
}

// report makes one call of an endpoint to the node beside it.
func report(req *http.Request, err error) error {
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: AckLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, req.URL.Path, "no answer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, req.URL.Path, "answers "+strconv.Itoa(resp.StatusCode))
	}
	return nil
}
