package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/egress"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// recordingEgress is an egress whose ends of one service's requests are recorded.
type recordingEgress struct {
	*egress.Egress
	service string

	mu   sync.Mutex
	ends []string
}

// Serve implements Local.
func (r *recordingEgress) Serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End {
	end := r.Egress.Serve(ctx, d, body, sink)
	if d.GetService() == r.service {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ends = append(r.ends, fmt.Sprintf("%s nested_failed=%v", endName(end), end.GetNestedFailed()))
	}
	return end
}

// TestFailedCallMarksParent runs testdata/nestedfailed with real endpoints and a real egress. It guards against parents that
// are taken for failures of their own endpoint's making, and against marks on requests that were served nonetheless or
// whose calls were served.
//
//	request desk=BEHAVIOUR hub=BEHAVIOUR [off]
//
// The endpoint of desk passes on the status of its call (passes-on), fails after any (fails-anyway), answers well after any
// (copes), calls in the name of a request that is not in flight and fails (forges), or breaks off (breaks). That of hub
// answers, fails, streams-failure (without a length) or breaks. The output is the caller's status, and how the runs at desk
// ended.
func TestFailedCallMarksParent(t *testing.T) {
	datadriven.RunTest(t, "testdata/nestedfailed", func(t *testing.T, d *datadriven.TestData) string {
		var deskDoes, hubDoes string
		d.ScanArgs(t, "desk", &deskDoes)
		d.ScanArgs(t, "hub", &hubDoes)
		var g *Ingress
		desk := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			parent := r.Header.Get(header.RequestID)
			if deskDoes == "forges" {
				parent = "other"
			}
			status := serveNamed(t, g, "hub.example", "/plain", parent+".1")
			switch deskDoes {
			case "passes-on":
				w.WriteHeader(status)
			case "fails-anyway", "forges":
				w.WriteHeader(http.StatusInternalServerError)
			case "breaks":
				panic(http.ErrAbortHandler)
			}
		}))
		defer desk.Close()
		hub := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			switch hubDoes {
			case "fails":
				w.WriteHeader(http.StatusInternalServerError)
			case "streams-failure":
				w.WriteHeader(http.StatusInternalServerError)
				_ = http.NewResponseController(w).Flush()
				_, _ = w.Write([]byte("no"))
			case "breaks":
				panic(http.ErrAbortHandler)
			}
		}))
		defer hub.Close()
		s := twoServices(t, strings.TrimPrefix(desk.URL, "http://"), strings.TrimPrefix(hub.URL, "http://"))
		local := &recordingEgress{Egress: nestedEgress(s, !d.HasArg("off")), service: "desk"}
		g = ingressWith(t, s, local)
		g.cfg.Contract, g.cfg.NestedFirst = namingContract{}, !d.HasArg("off")
		status := servePost(t, g, "r")
		return fmt.Sprintf("%d, %s\n", status, strings.Join(local.ends, "; "))
	})
}

// nestedEgress returns the egress of host h1 with or without the setting nested_first.
func nestedEgress(s *table.State, on bool) *egress.Egress {
	log := zerolog.Nop()
	cfg := egressConfig(namingContract{})
	cfg.NestedFirst = on
	return egress.New(cfg, &log, func() *table.State { return s })
}

// servePost serves a request that may not be repeated to the service desk and returns its status.
func servePost(t *testing.T, g *Ingress, name string) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://desk.example/x", nil)
	r.RequestURI = "/x"
	r.Header.Set(header.RequestID, name)
	serveCaller(g, w, r.WithContext(t.Context()))
	return w.Code
}
