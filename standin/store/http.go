package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/serve"
)

// The paths that switch the stand-in itself; they answer whatever the faults are.
const (
	// PathFaults takes Faults by POST.
	PathFaults = "/admin/faults"
	// PathStats answers Stats.
	PathStats = "/admin/stats"
	// PathOperators takes a row of the platform's operators by POST, with the query's "table" and "key".
	PathOperators = "/admin/operators"
)

// mostWait bounds the wait of a feed, whatever its caller asks for.
const mostWait = 30 * time.Second

// NewServer returns the stand-in's listener.
func NewServer(s *Store, address netip.AddrPort) *serve.Server {
	return serve.New("platform-standin", address, serve.WithRoutes(s.routes()...))
}

func (s *Store) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: platform.PathTxn, Handler: s.faulty(true, s.handleTxn)},
		{Method: http.MethodGet, Path: platform.PathRows, Handler: s.faulty(false, s.handleRows)},
		{Method: http.MethodGet, Path: platform.PathFeed, Handler: s.faulty(false, s.handleFeed)},
		{Method: http.MethodGet, Path: platform.PathObject + ":name", Handler: s.faulty(false, s.handleObject)},
		{Method: http.MethodPut, Path: platform.PathPut + ":name", Handler: s.faulty(true, s.handlePutObject)},
		{Method: http.MethodPost, Path: PathFaults, Handler: s.handleFaults},
		{Method: http.MethodPost, Path: PathOperators, Handler: s.handleOperators},
		{Method: http.MethodGet, Path: PathStats, Handler: s.handleStats},
	}
}

func tokenOf(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
}

// faulty counts a call and lets it meet the faults first.
func (s *Store) faulty(write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		down, delay := s.enter(write, tokenOf(r))
		time.Sleep(delay)
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// number reads a query field that must be a number; without one it answers BadRequest.
func number(w http.ResponseWriter, q url.Values, name string) (uint64, bool) {
	n, err := strconv.ParseUint(q.Get(name), 10, 63)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	return n, err == nil
}

func (s *Store) handleRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, ok := number(w, q, platform.QueryLimit)
	if !ok {
		return
	}
	reply(w, http.StatusOK, s.read(query{
		table: q.Get(platform.QueryTable), part: q.Get(platform.QueryPart),
		from: q.Get(platform.QueryFrom), to: q.Get(platform.QueryTo),
		limit: int(min(limit, platform.MostRows)),
	}))
}

func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, ok := number(w, q, platform.QueryAfter)
	if !ok {
		return
	}
	millis, ok := number(w, q, platform.QueryWait)
	if !ok {
		return
	}
	wait := min(time.Duration(millis)*time.Millisecond, mostWait) //nolint:gosec // bounded
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	changes, gone, down := s.feed(ctx, q.Get(platform.QueryTable), after, tokenOf(r))
	switch {
	case gone:
		w.WriteHeader(http.StatusGone)
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		reply(w, http.StatusOK, changes)
	}
}

func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var txn platform.WireTxn
	if !read(w, r, &txn) {
		return
	}
	if len(txn.Expected)+len(txn.Set)+len(txn.Remove) > platform.MostEntries {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if lost, late := s.loseReply(); lost {
		time.AfterFunc(late, func() { s.commit(txn) })
		panic(http.ErrAbortHandler)
	}
	done, ok := s.commit(txn)
	if !ok {
		reply(w, http.StatusPreconditionFailed, done)
		return
	}
	reply(w, http.StatusOK, done)
}

func (s *Store) handleObject(w http.ResponseWriter, r *http.Request) {
	body, ok := s.object(pathvar.Vars(r)["name"])
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (s *Store) handlePutObject(_ http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.putObject(pathvar.Vars(r)["name"], body)
}

func (s *Store) handleOperators(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	version := s.SetOperatorRow(r.URL.Query().Get("table"), r.URL.Query().Get("key"), body)
	reply(w, http.StatusOK, platform.WireReply{Rows: []platform.WireRow{}, Version: version})
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if read(w, r, &f) {
		s.SetFaults(f)
	}
}

func (s *Store) handleStats(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Stats())
}

// read decodes a request's body; what cannot be read it answers with BadRequest.
func read(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
