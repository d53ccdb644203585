package store

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/serve"
	"github.com/lynxplank/lynxplank/table"
)

// The paths that switch the stand-in itself; they answer whatever the faults are.
const (
	// PathFaults takes Faults by POST.
	PathFaults = "/admin/faults"
	// PathHosts takes the list of hosts by POST.
	PathHosts = "/admin/hosts"
	// PathStats answers Stats.
	PathStats = "/admin/stats"
)

// NewServer returns the stand-in's listener.
func NewServer(s *Store, address netip.AddrPort) *serve.Server {
	return serve.New("platform-standin", address, serve.WithRoutes(s.routes()...))
}

func (s *Store) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: platform.PathGet, Handler: s.faulty(false, s.handleGet)},
		{Method: http.MethodGet, Path: platform.PathScan, Handler: s.faulty(false, s.handleScan)},
		{Method: http.MethodPost, Path: platform.PathTxn, Handler: s.faulty(true, s.handleTxn)},
		{Method: http.MethodGet, Path: platform.PathHosts, Handler: s.faulty(false, s.handleHosts)},
		{Method: http.MethodGet, Path: platform.PathObjects, Handler: s.faulty(false, s.handleObject)},
		{Method: http.MethodPut, Path: platform.PathObjects, Handler: s.faulty(true, s.handlePutObject)},
		{Method: http.MethodPost, Path: PathFaults, Handler: s.handleFaults},
		{Method: http.MethodPost, Path: PathHosts, Handler: s.handleSetHosts},
		{Method: http.MethodGet, Path: PathStats, Handler: s.handleStats},
	}
}

func (s *Store) faulty(write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		down, delay := s.enter(write)
		time.Sleep(delay)
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	var req platform.GetRequest
	if read(w, r, &req) {
		reply(w, platform.Records{Records: s.get(req.Keys)})
	}
}

func (s *Store) handleScan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply(w, s.scan(q.Get("prefix"), q.Get("after"), limit))
}

func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !read(w, r, &txn) {
		return
	}
	done := s.commit(txn)
	if s.loseReply() {
		panic(http.ErrAbortHandler)
	}
	reply(w, done)
}

func (s *Store) handleHosts(w http.ResponseWriter, _ *http.Request) { reply(w, s.hostList()) }

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

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if read(w, r, &f) {
		s.SetFaults(f)
	}
}

func (s *Store) handleSetHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []table.HostInfo
	if read(w, r, &hosts) {
		s.SetHosts(hosts)
	}
}

func (s *Store) handleStats(w http.ResponseWriter, _ *http.Request) { reply(w, s.Stats()) }

func read(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
