package egress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// steppedEndpoint records what starts and ends one request for each value sent to release.
type steppedEndpoint struct {
	started chan string
	release chan struct{}
}

// ServeHTTP implements http.Handler.
func (s *steppedEndpoint) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	s.started <- r.URL.Path
	<-s.release
}

// fillQueue has an endpoint's slots and queue taken by requests that are not nested; it returns how all requests end.
func fillQueue(t *testing.T, e *Egress, s *steppedEndpoint, slots, waiting int) chan *peerpb.End {
	t.Helper()
	ends := make(chan *peerpb.End, slots+waiting+1)
	for i := range slots + waiting {
		go func() { ends <- serve(t, e, lookup()) }()
		if i < slots {
			<-s.started
		}
	}
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		if e.Statuses()[0].Waiting == waiting {
			return ends
		}
		if time.Now().After(deadline) {
			t.Fatalf("waiting: got %d, want %d", e.Statuses()[0].Waiting, waiting)
		}
	}
}

// TestNestedCallTakesPlaceInFullQueue guards against a nested call that is refused, or waits behind new requests, where
// these fill the queue of a called service; and against such a priority where the setting is off.
func TestNestedCallTakesPlaceInFullQueue(t *testing.T) {
	const slots, waiting = 4, 16
	for _, nestedFirst := range []bool{false, true} {
		s := &steppedEndpoint{started: make(chan string, slots+waiting+1), release: make(chan struct{})}
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		e := newTestEgress(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
		e.cfg.NestedFirst = nestedFirst
		ends := fillQueue(t, e, s, slots, waiting)
		nested := lookup()
		nested.Target, nested.Nested = "/nested", true
		go func() { ends <- serve(t, e, nested) }()
		refused := <-ends
		if got, want := refused.GetCode(), string(fault.Overloaded); got != want {
			t.Errorf("nested first %v: refusal: got %q, want %q", nestedFirst, got, want)
		}
		s.release <- struct{}{}
		want := "/"
		if nestedFirst {
			want = "/nested"
		}
		if got := <-s.started; got != want {
			t.Errorf("nested first %v: next start: got %q, want %q", nestedFirst, got, want)
		}
		close(s.release)
		for range slots + waiting {
			<-ends
		}
		status, wantCount := e.Statuses()[0], uint64(0)
		if nestedFirst {
			wantCount = 1
		}
		if status.NestedStarts != wantCount || status.Displaced != wantCount {
			t.Errorf("nested first %v: nested starts and displaced: got %d and %d, want %d each", nestedFirst, status.NestedStarts, status.Displaced, wantCount)
		}
	}
}

// TestKindOfWork checks that small bodies don't count in the kind of a request, so that an offer, which doesn't tell
// their size, and the request itself are of one kind, and that larger ones are of other kinds.
func TestKindOfWork(t *testing.T) {
	for _, c := range []struct {
		length int64
		inline int
		want   string
	}{
		{0, 0, "r"},
		{0, smallBody, "r"},
		{smallBody, 0, "r"},
		{smallBody + 1, 0, "r body 1"},
		{256 << 10, 0, "r body 1"},
		{1 << 20, 0, "r body 2"},
		{1 << 30, 0, "r body 4"},
		{1<<63 - 1, 0, "r body 12"},
		{-1, 0, "r"},
	} {
		d := &peerpb.Dispatch{Method: http.MethodPost, Route: "r", BodyLength: c.length, Body: make([]byte, c.inline)}
		if got, want := kindOf(d), c.want; got != want {
			t.Errorf("length %d, inline %d: got %q, want %q", c.length, c.inline, got, want)
		}
	}
}
