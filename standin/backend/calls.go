package backend

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/header"
)

// PathNested begins the paths of the calls that endpoints make while they handle other requests.
const PathNested = "/nested"

// defaultCallLimit bounds a call for a request without a deadline.
const defaultCallLimit = 3 * time.Second

// CallThrough sets the address of the node through which the endpoint makes calls of its own.
func (b *Backend) CallThrough(node string) { b.node = node }

// makesCall reports whether the endpoint makes a call for a request on a path; the lock must be held.
func (b *Backend) makesCall(path string) bool {
	return b.how.Calls && b.node != "" && !strings.HasPrefix(path, PathNested) && !strings.HasPrefix(path, PathFatal)
}

// callFor makes a call that may not be repeated for a request and reports whether it was served. What the endpoint was told
// of it is recorded under the call's own name, each run of the request has a call of another name.
func (b *Backend) callFor(ctx context.Context, request string, left time.Duration) bool {
	if left <= 0 {
		left = defaultCallLimit
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	b.mu.Lock()
	b.calls++
	name := request + "." + b.name + "-" + strconv.Itoa(b.calls)
	b.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.node+PathNested, nil)
	if err != nil {
		return false
	}
	r.Header.Set(CallHeader, name)
	r.Header.Set(header.Deadline, left.String())
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		b.noteTold(name, "unknown")
		return false
	}
	_ = resp.Body.Close()
	b.noteTold(name, resp.Header.Get(header.Outcome))
	return resp.StatusCode < http.StatusInternalServerError
}

// noteTold records what the endpoint was told of a call of its own.
func (b *Backend) noteTold(name, told string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[name]
	r.Told = told
	b.runs[name] = r
}
