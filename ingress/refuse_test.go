package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/table"
)

// TestRefusedResendIsUnknown has a node that knows nothing of a key's earlier attempts refuse a payment. A possible
// resend must be reported as unknown, because an earlier attempt may have run; only a first attempt is not run.
func TestRefusedResendIsUnknown(t *testing.T) {
	log := zerolog.Nop()
	notReady := func() *configsync.Snapshot { return &configsync.Snapshot{State: table.NewState()} }
	g := New(Config{Host: "h1"}, &log, notReady, nil, nil, nil, nil)
	stopping := RefuseUnread(contract.Native{})
	refusals := map[string]func(w http.ResponseWriter, r *http.Request){
		"not ready": g.ServeHTTP,
		"stopping": func(w http.ResponseWriter, r *http.Request) {
			stopping(w, r.Header, http.StatusServiceUnavailable, fault.New(fault.Draining, "", "the node is stopping"))
		},
	}
	for name, refuse := range refusals {
		for _, c := range []struct{ key, attempt, want string }{
			{"", "", "not-run"}, {"k", "1", "not-run"}, {"k", "2", "unknown"}, {"k", "", "unknown"},
		} {
			r := httptest.NewRequest(http.MethodPost, "/pay", nil)
			if c.key != "" {
				r.Header.Set(header.IdempotencyKey, c.key)
			}
			if c.attempt != "" {
				r.Header.Set(header.Attempt, c.attempt)
			}
			w := httptest.NewRecorder()
			refuse(w, r)
			if got := w.Header().Get(header.Outcome); got != c.want {
				t.Errorf("%s, key %q, attempt %q: got %q, want %q", name, c.key, c.attempt, got, c.want)
			}
		}
	}
}
