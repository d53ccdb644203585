package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/header"
)

// The paths that switch the stand-in itself.
const (
	// PathBehaviour takes a Behaviour by POST.
	PathBehaviour = "/admin/behaviour"
	// PathRuns answers the record, a Run by call.
	PathRuns = "/admin/runs"
	// PathArrivals answers when work arrived, in Unix milliseconds.
	PathArrivals = "/admin/arrivals"
	// PathFatal begins the paths of requests that end the endpoint.
	PathFatal = "/fatal"
	// PathLarge begins the paths of requests with large answers.
	PathLarge = "/large"
	// PathHealth is the probe; it lies: it succeeds whatever the faults are.
	PathHealth = "/healthz"
)

// ServeHTTP answers work on every path but those of the stand-in itself.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathBehaviour:
		b.handleBehaviour(w, r)
	case PathRuns:
		_ = json.NewEncoder(w).Encode(b.Runs())
	case PathArrivals:
		_ = json.NewEncoder(w).Encode(b.Arrivals())
	case PathHealth:
		b.handleHealth(w)
	default:
		b.handleWork(w, r)
	}
}

func (b *Backend) handleBehaviour(w http.ResponseWriter, r *http.Request) {
	var how Behaviour
	if err := json.NewDecoder(r.Body).Decode(&how); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.Set(how)
}

func (b *Backend) handleHealth(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.how.Leaving && !b.how.QuietProbe {
		w.Header().Set(header.Leaving, "yes")
	}
}

func (b *Backend) handleWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(b.slowly(r.Body))
	if err != nil {
		return
	}
	call := r.Header.Get(CallHeader)
	p := b.begin(call, r.URL.Path)
	w.Header().Set(reportHeader, strconv.Itoa(p.report))
	if p.leaving {
		w.Header().Set(header.Leaving, "yes")
	}
	if p.maxRate != "" {
		w.Header().Set(header.MaxRate, p.maxRate)
	}
	if p.shed {
		w.Header().Set(header.NotRun, "yes")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	begun := time.Now()
	done := p.wait(r.Context(), deadlineOf(r))
	if done && p.calls {
		p.fail = !b.callFor(r.Context(), call, deadlineOf(r)-time.Since(begun)) || p.fail
	}
	b.end(call, done && !p.fail && p.down == 0)
	if done && p.down > 0 {
		b.endLife(p.down)
		done = false
	}
	if !done {
		// The deadline has passed, the caller is gone or the endpoint has just crashed: a caller that still waits must
		// get no answer.
		<-r.Context().Done()
		return
	}
	if p.fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if p.spoil != "" {
		b.spoil(w, call, p.spoil)
		return
	}
	b.answer(w, call, string(body), p)
}

// slowReader waits after each piece that it reads.
type slowReader struct {
	io.Reader
	pause time.Duration
}

// slowPiece is the most that a slow reader reads at once, in bytes.
const slowPiece = 16 << 10

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), slowPiece)])
	if n > 0 {
		time.Sleep(r.pause)
	}
	return n, err
}

// slowly reads a body at the pace that the endpoint has now.
func (b *Backend) slowly(body io.Reader) io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slowReader{Reader: body, pause: time.Duration(b.how.ReadPauseMillis) * time.Millisecond}
}

// answer names the request that it answers, so that a caller can tell its own answer from another's.
func (b *Backend) answer(w http.ResponseWriter, call, body string, p plan) {
	text := "answer from " + b.name + " to " + call + " body " + body + "\n"
	if !p.half {
		if p.large > len(text) {
			text += strings.Repeat(".", p.large-len(text))
		}
		_, _ = io.WriteString(w, text)
		return
	}
	b.mu.Lock()
	length, chunked := max(b.how.HalfLength, halfLength), b.how.HalfChunked
	b.mu.Unlock()
	b.noteHalved(call)
	if !chunked {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	_, _ = io.WriteString(w, text+strings.Repeat(".", length/2-len(text)))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
