package egress

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/table"
	"github.com/lynxplank/lynxplank/upstream"
)

const (
	// maxBrokenRequests bounds the broken requests that are remembered: several times the slots of an endpoint.
	maxBrokenRequests = 64
	// crashCheckTimeout bounds the check whether an endpoint still accepts connections, which takes about a
	// millisecond.
	crashCheckTimeout = 500 * time.Millisecond
	// verdictTimeout is how long a broken request waits for the result of the crash check before it is answered
	// without it.
	verdictTimeout = 20 * time.Millisecond
	// crashSettleTime is how long it may take until all requests of a crashed endpoint are known to be broken. Their
	// connections break at once, and a node with a third of a core has noticed all of them within 2 ms.
	crashSettleTime = 50 * time.Millisecond
)

// brokenRequest is a request whose answer broke off or never came.
type brokenRequest struct {
	request     string
	fingerprint poison.Fingerprint
	// startedAt is when it was dispatched, brokeAt when its answer broke off.
	startedAt, brokeAt time.Time
	// verdict receives, once, whether the endpoint has crashed.
	verdict chan bool
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler. In the event, the fingerprint is the "content".
func (b brokenRequest) MarshalZerologObject(e *zerolog.Event) {
	e.Str("request", b.request).Stringer("content", b.fingerprint).Dur("after", b.brokeAt.Sub(b.startedAt))
}

// fingerprintOf returns a request's fingerprint, the zero one if the sender did not send any.
func fingerprintOf(d *peerpb.Dispatch) poison.Fingerprint {
	c, _ := poison.FingerprintFromBytes(d.GetContent())
	return c
}

// noteBrokenRequest records a broken request and has the endpoint checked: one that merely closed a connection
// accepts new ones, a crashed one accepts none. It returns whether the endpoint has crashed, false if that is not
// known within verdictTimeout.
func (e *Egress) noteBrokenRequest(l *localEndpoint, broken brokenRequest) (crashed bool) {
	broken.verdict = make(chan bool, 1)
	if l.addBroken(broken) {
		e.inFlight.Add()
		go func() {
			defer e.inFlight.Done()
			e.checkCrashed(l)
		}()
	}
	select {
	case crashed = <-broken.verdict:
		return crashed
	case <-time.After(verdictTimeout):
		return false
	}
}

// addBroken records a broken request and reports whether the caller must start a check; only one goroutine checks at
// a time.
func (l *localEndpoint) addBroken(b brokenRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.brokenRequests) == maxBrokenRequests {
		b.verdict <- false
	} else {
		l.brokenRequests = append(l.brokenRequests, b)
	}
	if l.crashCheckRunning {
		return false
	}
	l.crashCheckRunning = true
	return true
}

// checkCrashed connects to the endpoint until there is a verdict for all broken requests.
func (e *Egress) checkCrashed(l *localEndpoint) {
	for {
		startedAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		refused := upstream.Refuses(ctx, *l.address.Load())
		cancel()
		l.deliverVerdicts(startedAt, refused)
		if refused {
			time.Sleep(crashSettleTime)
			e.reportCrash(l, l.takeBroken(time.Now()))
		} else {
			l.takeBroken(startedAt)
		}
		if !l.needsAnotherCheck() {
			return
		}
	}
}

// deliverVerdicts reports the result of a check to the requests that broke before it began. A crash is reported to
// those that broke since as well.
func (l *localEndpoint) deliverVerdicts(by time.Time, crashed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, b := range l.brokenRequests {
		if b.verdict != nil && (crashed || !b.brokeAt.After(by)) {
			b.verdict <- crashed
			l.brokenRequests[i].verdict = nil
		}
	}
}

// takeBroken removes and returns the requests that broke at or before a time.
func (l *localEndpoint) takeBroken(by time.Time) []brokenRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var taken, rest []brokenRequest
	for _, b := range l.brokenRequests {
		if b.brokeAt.After(by) {
			rest = append(rest, b)
		} else {
			taken = append(taken, b)
		}
	}
	l.brokenRequests = rest
	return taken
}

// needsAnotherCheck reports whether requests broke that the latest check says nothing about.
func (l *localEndpoint) needsAnotherCheck() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashCheckRunning = len(l.brokenRequests) > 0
	return l.crashCheckRunning
}

// reportCrash reports a crashed endpoint with the requests it was running: the first one that broke and all that had
// started before that. In the event, these are its "work", and a draining endpoint is "leaving".
func (e *Egress) reportCrash(l *localEndpoint, broken []brokenRequest) {
	inFlight := inFlightAtCrash(broken)
	if len(inFlight) == 0 {
		return
	}
	list := zerolog.Arr()
	fingerprints := make([]poison.Fingerprint, 0, len(inFlight))
	for _, b := range inFlight {
		list.Object(b)
		fingerprints = append(fingerprints, b.fingerprint)
	}
	draining, service := e.isDraining(l), l.serviceName()
	events.EndpointCrashed.Log(e.log).Str("endpoint", l.key).Str("service", service).Bool("leaving", draining).
		Array("work", list).Send()
	if !draining {
		e.crashes.EndedHere(l.key, service, fingerprints)
	}
}

// serviceName returns the endpoint's service according to the table.
func (l *localEndpoint) serviceName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service
}

// isDraining reports whether the endpoint was expected to stop: then its crash is no evidence against the requests it
// was running.
func (e *Egress) isDraining(l *localEndpoint) bool {
	if e.announced != nil {
		if r, ok := e.announced.Endpoint(l.key); ok {
			return r.Draining
		}
	}
	row, ok := e.state().Endpoint(l.key)
	return l.draining.Load() || ok && e.state().EndpointPhase(row) != table.Active
}

// inFlightAtCrash returns the requests that were in flight when the first of them broke. Those that started later
// reached an endpoint that had already crashed.
func inFlightAtCrash(broken []brokenRequest) []brokenRequest {
	if len(broken) == 0 {
		return nil
	}
	crashedAt := broken[0].brokeAt
	for _, b := range broken {
		if b.brokeAt.Before(crashedAt) {
			crashedAt = b.brokeAt
		}
	}
	var inFlight []brokenRequest
	for _, b := range broken {
		if b.startedAt.Before(crashedAt) {
			inFlight = append(inFlight, b)
		}
	}
	return inFlight
}
