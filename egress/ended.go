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
	// mostBroken bounds the work that is remembered as broken off: several times the slots of an endpoint.
	mostBroken = 64
	// checkLimit bounds the question whether an endpoint still takes connections, which takes about a millisecond.
	checkLimit = 500 * time.Millisecond
	// verdictLimit is how long broken work waits to hear whether its endpoint lives before it is answered for.
	verdictLimit = 20 * time.Millisecond
	// endSettle is how long work that an ended endpoint had may take to be seen as broken off: its connections break at once, and a
	// node with a third of a core has told of all of them within 2 ms.
	endSettle = 50 * time.Millisecond
)

// brokenWork is a piece of work that broke off.
type brokenWork struct {
	request string
	content poison.Fingerprint
	// began is when it was handed over, at when it broke off.
	began, at time.Time
	// verdict is told once whether the endpoint has ended.
	verdict chan bool
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (b brokenWork) MarshalZerologObject(e *zerolog.Event) {
	e.Str("request", b.request).Stringer("content", b.content).Dur("after", b.at.Sub(b.began))
}

// contentOf is what a request asks for, the zero content where the sender does not say.
func contentOf(d *peerpb.Dispatch) poison.Fingerprint {
	c, _ := poison.FingerprintFromBytes(d.GetContent())
	return c
}

// noteBroken notes work that broke off and has the endpoint asked whether it lives: one that let go of a connection does, one that
// has ended takes no connection. It returns whether it has ended, false if that is not known soon.
func (e *Egress) noteBroken(l *local, work brokenWork) (ended bool) {
	work.verdict = make(chan bool, 1)
	if l.addBroken(work) {
		e.flight.Add()
		go func() {
			defer e.flight.Done()
			e.checkEnded(l)
		}()
	}
	select {
	case ended = <-work.verdict:
		return ended
	case <-time.After(verdictLimit):
		return false
	}
}

// addBroken notes work that broke off and tells whether the endpoint is to be asked; it is asked by one goroutine at a time.
func (l *local) addBroken(work brokenWork) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.broken) == mostBroken {
		work.verdict <- false
	} else {
		l.broken = append(l.broken, work)
	}
	if l.checking {
		return false
	}
	l.checking = true
	return true
}

// checkEnded asks the endpoint for a connection until it has answered for all work that broke off.
func (e *Egress) checkEnded(l *local) {
	for {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), checkLimit)
		refused := upstream.Refuses(ctx, *l.address.Load())
		cancel()
		l.tellVerdict(began, refused)
		if refused {
			time.Sleep(endSettle)
			e.tellEnded(l, l.takeBroken(time.Now()))
		} else {
			l.takeBroken(began)
		}
		if !l.checkAgain() {
			return
		}
	}
}

// tellVerdict tells the work that broke off by a time whether the endpoint has ended by now; what broke off since is told the same if it has.
func (l *local) tellVerdict(by time.Time, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, b := range l.broken {
		if b.verdict != nil && (ended || !b.at.After(by)) {
			b.verdict <- ended
			l.broken[i].verdict = nil
		}
	}
}

// takeBroken takes out the work that broke off by a time.
func (l *local) takeBroken(by time.Time) []brokenWork {
	l.mu.Lock()
	defer l.mu.Unlock()
	var taken, left []brokenWork
	for _, b := range l.broken {
		if b.at.After(by) {
			left = append(left, b)
		} else {
			taken = append(taken, b)
		}
	}
	l.broken = left
	return taken
}

// checkAgain tells whether work broke off that the latest answer says nothing of.
func (l *local) checkAgain() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checking = len(l.broken) > 0
	return l.checking
}

// tellEnded tells of an endpoint that has ended and of the work that it had then: what broke off first and all that had begun before.
func (e *Egress) tellEnded(l *local, broken []brokenWork) {
	work := underWay(broken)
	if len(work) == 0 {
		return
	}
	list := zerolog.Arr()
	contents := make([]poison.Fingerprint, 0, len(work))
	for _, b := range work {
		list.Object(b)
		contents = append(contents, b.content)
	}
	leaving, service := e.leaves(l), l.serviceName()
	events.EndpointCrashed.Log(e.log).Str("endpoint", l.key).Str("service", service).Bool("leaving", leaving).
		Array("work", list).Send()
	if !leaving {
		e.endings.EndedHere(l.key, service, contents)
	}
}

// serviceName is the endpoint's service as the table has it now.
func (l *local) serviceName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service
}

// leaves tells whether an endpoint's end was to be expected: that it took work with it says nothing against the work.
func (e *Egress) leaves(l *local) bool {
	if e.announced != nil {
		if r, ok := e.announced.Endpoint(l.key); ok {
			return r.Draining
		}
	}
	row, ok := e.state().Endpoint(l.key)
	return l.leaving.Load() || ok && e.state().EndpointPhase(row) != table.Active
}

// underWay returns what was under way when the first of some work broke off: what began later came to an endpoint that had ended.
func underWay(broken []brokenWork) []brokenWork {
	if len(broken) == 0 {
		return nil
	}
	ended := broken[0].at
	for _, b := range broken {
		if b.at.Before(ended) {
			ended = b.at
		}
	}
	var work []brokenWork
	for _, b := range broken {
		if b.began.Before(ended) {
			work = append(work, b)
		}
	}
	return work
}
