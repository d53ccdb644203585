package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/ingress"
	"github.com/lynxplank/lynxplank/standin/backend"
)

// Kind is one way for a caller to send.
type Kind uint8

// The kinds of request.
const (
	// Lookup may run more than once.
	Lookup Kind = iota
	// Booking must run at most once; it carries a key and is sent again, marked, while its fate is unknown.
	Booking
	// Payment must run at most once and carries no key.
	Payment
	kinds
)

var kindNames = [kinds]string{"lookup", "booking", "payment"}

// Result is what a caller was told of one request.
type Result struct {
	// Call names the request in the endpoints' records.
	Call string
	// Kind is how it was sent.
	Kind Kind
	// Told is "ran", "not-run" or "unknown".
	Told string
	// Status is the answer's status, 0 without one.
	Status int
	// Whole is set when the answer could be read to its end.
	Whole bool
	// Own is set when the answer names this request.
	Own bool
	// Sends counts how often the caller sent it.
	Sends int
	// Code is the system's own code for a failure.
	Code string
	// Fatal names a request that ends endpoints, "" for any other.
	Fatal string
	// ComesBack is set when a refusal said when to come back.
	ComesBack bool
	// Closes are the connections that were closed without an answer.
	Closes []Close
}

// Close is a connection that a node closed without an answer.
type Close struct {
	// First is the call of the first request on the connection that had no whole answer, "" if that is this one; Partial is set if
	// a part of that answer had come.
	First   string
	Partial bool
	// Node is the callers' address, Sent when the send began, Wrote when the request was first written to a connection, the zero
	// time if it was not, and At when the close was seen.
	Node            string
	Sent, Wrote, At time.Time
}

// Load sends requests of all kinds to the fleet's nodes.
type Load struct {
	// Deadline is what each request names, "3s" at first.
	Deadline string
	// Prefix comes before each request's path, and Mark before its name, which its body holds too; Customer pays.
	Prefix, Mark, Customer string
	// Sends is how often each request is sent at most.
	Sends int

	client  *http.Client
	targets []string
	mu      sync.Mutex
	results []Result
}

const (
	mostSends   = 4
	clientLimit = 60 * time.Second
	pause       = 150 * time.Millisecond
	bodyLength  = 16
	// fatalTimeout bounds one send of a fatal request.
	fatalTimeout = time.Second
	// fatalCall begins the names of fatal requests in the endpoints' records.
	fatalCall = "fatal-"
)

// NewLoad returns a load on the callers' addresses.
func NewLoad(targets []string) *Load {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Load{
		client:  &http.Client{Timeout: clientLimit, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64}},
		targets: targets, Deadline: "3s", Sends: mostSends,
	}
}

// Results returns what the callers were told so far.
func (l *Load) Results() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Result(nil), l.results...)
}

// Send sends n requests of one kind at once, numbered from first, and returns what became of them.
func (l *Load) Send(kind Kind, first, n int) []Result {
	out := make([]Result, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			out[i] = l.one((first+i)*int(kinds) + int(kind))
			l.note(out[i])
		})
	}
	wg.Wait()
	return out
}

// Run sends rate requests a second until ctx ends, then waits for the last answers.
func (l *Load) Run(ctx context.Context, rate int) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		wg.Go(func() { l.note(l.one(n)) })
	}
}

func (l *Load) note(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// one sends one request, again while a caller would.
func (l *Load) one(n int) Result {
	r := Result{Kind: Kind(n % int(kinds))} //nolint:gosec // three kinds
	r.Call = l.Mark + kindNames[r.Kind] + "-" + strconv.Itoa(n)
	attempt := 1
	for r.Sends = 1; ; r.Sends++ {
		reached := l.send(&r, attempt, l.targets[(n/int(kinds)+r.Sends)%len(l.targets)])
		if !reached && attempt > 1 {
			// No connection now says nothing about the sends before.
			r.Told = "unknown"
		}
		again := !reached || r.Told == "not-run" || r.Told == "unknown" && r.Kind != Payment
		if !again || r.Sends >= l.Sends {
			return r
		}
		if r.Told == "unknown" {
			attempt++
		}
		time.Sleep(pause)
	}
}

// send makes one send; reached is false when no node took the connection.
func (l *Load) send(r *Result, attempt int, target string) (reached bool) {
	req, err := http.NewRequest(r.Kind.method(), "http://"+target+l.Prefix+r.path(), r.body()) //nolint:noctx // the client's limit
	if err != nil {
		return false
	}
	req.Header.Set(backend.CallHeader, r.Call)
	req.Header.Set(header.Deadline, l.Deadline)
	if l.Customer != "" {
		req.Header.Set(header.Customer, l.Customer)
	}
	if r.Kind == Booking {
		req.Header.Set(header.IdempotencyKey, r.Call)
		req.Header.Set(header.Attempt, strconv.Itoa(attempt))
	}
	r.Whole, r.Own, r.Status, r.Code, r.ComesBack = false, false, 0, "", false
	sent := time.Now()
	var wrote atomic.Pointer[time.Time]
	resp, err := l.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if now := time.Now(); info.Err == nil {
				wrote.CompareAndSwap(nil, &now)
			}
		},
	})))
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			r.Told, r.Code = "not-run", "no_connection"
			return false
		}
		r.Told = "unknown"
		c := Close{Node: target, Sent: sent, At: time.Now()}
		if at := wrote.Load(); at != nil {
			c.Wrote = *at
		}
		r.Closes = append(r.Closes, c)
		return true
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.Status = resp.StatusCode
	r.Whole = err == nil
	r.Told = resp.Header.Get(header.Outcome)
	r.ComesBack = resp.Header.Get("Retry-After") != ""
	r.Own = strings.Contains(string(body), fmt.Sprintf(" to %s body ", r.Call))
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
		var p ingress.Problem
		if json.Unmarshal(body, &p) == nil {
			r.Code = string(p.Code)
		}
	}
	return true
}

// path is what the request asks for: the same for every send of a fatal one.
func (r *Result) path() string {
	if r.Fatal != "" {
		return backend.PathFatal + "/" + r.Fatal
	}
	return "/" + kindNames[r.Kind]
}

// NewFatalLoad returns a load whose requests wait no longer than fatalTimeout, also for nodes that stand still.
func NewFatalLoad(targets []string) *Load {
	l := NewLoad(targets)
	l.client.Timeout = fatalTimeout
	return l
}

// SendFatal sends a request that ends endpoints once, under a number of its own, to the node whose turn it is.
func (l *Load) SendFatal(name string, n int) Result {
	r := Result{Kind: Lookup, Fatal: name, Call: fatalCall + name + "-" + strconv.Itoa(n), Sends: 1}
	l.send(&r, 1, l.targets[n%len(l.targets)])
	return r
}

// FatalBegun returns when an endpoint began a fatal request, by its record.
func FatalBegun(record map[string]backend.Run, name string) []time.Time {
	var out []time.Time
	for call, r := range record {
		if strings.HasPrefix(call, fatalCall+name+"-") && r.Started > 0 {
			out = append(out, time.UnixMilli(r.LastMillis))
		}
	}
	return out
}

// FatalRuns counts, in an endpoint's record, how often it began a fatal request.
func FatalRuns(record map[string]backend.Run, name string) int {
	sum := 0
	for call, r := range record {
		if strings.HasPrefix(call, fatalCall+name+"-") {
			sum += r.Started
		}
	}
	return sum
}

func (k Kind) method() string {
	if k == Lookup {
		return http.MethodGet
	}
	return http.MethodPost
}

// body returns a body that the HTTP client cannot rewind, so that it never sends a request twice by itself.
func (r *Result) body() io.Reader {
	if r.Kind == Lookup {
		return nil
	}
	return io.NopCloser(strings.NewReader(strings.Repeat("x", bodyLength) + r.Call))
}
