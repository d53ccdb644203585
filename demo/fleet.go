package demo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/operator"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/backend"
	"github.com/lynxplank/lynxplank/standin/store"
)

const (
	operatorToken = "demo"
	waitLimit     = 30 * time.Second
	lookEvery     = 10 * time.Millisecond
)

// Member is one node with the endpoint beside it.
type Member struct {
	// Host is the node's id; the endpoint's key is the same with "e" before it.
	Host string
	// Hall is where it stands.
	Hall string
	// Callers, Peers, Operators and Endpoint are the addresses.
	Callers, Peers, Operators, Endpoint string
	// Control is where the node takes the heartbeats of an endpoint that announces itself.
	Control        string
	node, endpoint *process
	gone           bool
}

// Fleet is a platform stand-in and a number of members, each a process of its own.
type Fleet struct {
	// Members are the nodes with their endpoints.
	Members []*Member
	// PeerAddress, if set, gives the address that a member's node advertises to its peers.
	PeerAddress func(m *Member) string
	// StoreAddress, if set, gives the address at which a member's node finds the platform.
	StoreAddress func(m *Member) string

	// Routes are lines of routes that are declared beside the one of all requests.
	Routes string

	// Bare fleets have no endpoint processes, only their rows.
	Bare bool
	// AnnouncedService, if set, is the service of endpoints that have no rows: they announce themselves.
	AnnouncedService string
	// PlatformSettings gives the nodes' links and reads the settings of the users' platform.
	PlatformSettings bool
	// Configuration, if set, is the first configuration of the platform's operators, which the nodes then follow.
	Configuration []byte
	// CallersIdleTimeout is how long a caller's connection may wait for its next request, 0 for the nodes' own default.
	CallersIdleTimeout time.Duration

	bin      string
	dir      string
	platform string
	extra    string

	mu sync.Mutex
	// started are the processes; the soak starts two at the same moment.
	started []*process
}

type process struct {
	cmd  *exec.Cmd
	done chan error
}

// NewFleet returns a fleet of size members in halls, with the binaries of bin and files in dir. Extra is appended to
// each node's settings.
func NewFleet(bin, dir string, size, halls int, extra string) (*Fleet, error) {
	const perMember = 5
	ports, err := FreePorts(1 + perMember*size)
	if err != nil {
		return nil, err
	}
	f := &Fleet{bin: bin, dir: dir, platform: ports[0], extra: extra}
	for i := range size {
		p := ports[1+perMember*i:]
		f.Members = append(f.Members, &Member{
			Host: "h" + strconv.Itoa(i+1), Hall: "hall-" + strconv.Itoa(i%halls+1),
			Callers: p[0], Peers: p[1], Operators: p[2], Endpoint: p[3], Control: p[4],
		})
	}
	return f, nil
}

// PlatformAddress returns the platform's IP and port.
func (f *Fleet) PlatformAddress() string { return f.platform }

// LogFile returns the path of the log of the member's node.
func (f *Fleet) LogFile(m *Member) string { return filepath.Join(f.dir, m.Host+".log") }

// PlatformStats returns the platform's counts of calls.
func (f *Fleet) PlatformStats() (store.Stats, error) {
	var s store.Stats
	err := get(f.platform+store.PathStats, &s)
	return s, err
}

// Key returns the key of the member's endpoint.
func (m *Member) Key() string { return "e" + m.Host }

// Start starts the platform, the endpoints and the nodes and waits until every node is ready.
func (f *Fleet) Start(service string, how backend.Behaviour, serviceCells string) error {
	if _, err := f.spawn("platform", "lynxplank-standin", "-role", "platform", "-listen", f.platform); err != nil {
		return err
	}
	if err := waitFor("platform", func() bool { return get(f.platform+store.PathStats, nil) == nil }); err != nil {
		return err
	}
	if f.Configuration != nil {
		if err := f.Configure(f.Configuration); err != nil {
			return err
		}
	}
	for i, m := range f.Members {
		if err := f.startMember(m, how, i); err != nil {
			return err
		}
	}
	if err := f.WaitReady(); err != nil {
		return err
	}
	if err := f.waitHosts(); err != nil {
		return err
	}
	// The nodes run before the service is made, and so know that no key of it can have run before.
	if err := f.declare(service, serviceCells); err != nil {
		return err
	}
	return f.WaitRevision(1)
}

// Configure has the platform's operators write a configuration; it returns once the platform has acknowledged it.
func (f *Fleet) Configure(text []byte) error {
	query := url.Values{"table": {platform.TableOperators}, "key": {platform.KeyConfig}}
	resp, err := http.Post("http://"+f.platform+store.PathOperators+"?"+query.Encode(), "application/json", bytes.NewReader(text)) //nolint:noctx // the stand-in answers at once
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, f.platform, "platform does not answer")
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, f.platform, resp.Status)
	}
	return nil
}

// waitHosts waits until every node knows every other.
func (f *Fleet) waitHosts() error {
	want := 0
	for _, m := range f.Members {
		if !m.gone {
			want++
		}
	}
	return waitFor("hosts known", func() bool {
		for _, m := range f.Members {
			var s operator.Status
			if m.Running() && (get(m.Operators+operator.PathStatus, &s) != nil || s.Hosts != want) {
				return false
			}
		}
		return true
	})
}

// WaitRevision waits until every running node has a revision in force.
func (f *Fleet) WaitRevision(revision uint64) error {
	return waitFor("revision in force", func() bool {
		for _, m := range f.Members {
			var s operator.Status
			if m.Running() && (get(m.Operators+operator.PathStatus, &s) != nil || s.Revision != revision) {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) startMember(m *Member, how backend.Behaviour, i int) error {
	text, err := json.Marshal(how)
	if err != nil {
		return fault.Wrap(err, fault.Internal, m.Host, "behaviour cannot be encoded")
	}
	if f.Bare {
		return f.StartNode(m)
	}
	m.endpoint, err = f.spawn(m.Key(), "lynxplank-standin", "-role", "endpoint", "-name", m.Key(),
		"-listen", m.Endpoint, "-behaviour", string(text), "-node", m.Callers, "-seed", strconv.Itoa(i+1))
	if err != nil {
		return err
	}
	return f.StartNode(m)
}

// StartNode starts a member's node with empty memory.
func (f *Fleet) StartNode(m *Member) error {
	path := filepath.Join(f.dir, m.Host+".yaml")
	advertise := m.Peers
	if f.PeerAddress != nil {
		advertise = f.PeerAddress(m)
	}
	storeAddress := f.platform
	if f.StoreAddress != nil {
		storeAddress = f.StoreAddress(m)
	}
	links, reads := "idle_close: 3s, gone_after: 3s", ""
	if f.PlatformSettings {
		links, reads = "heartbeat: 500ms, cut_after: 800ms, idle_close: 10m, gone_after: 10s", ", readers: 3, config_readers: 3, timeout: 1s, wait: 3s"
	}
	text := fmt.Sprintf(`node: {id: %s, hall: %s}
callers: {listen: %q%s}
peers: {listen: %q, advertise: %q, seeds: [%q, %q], %s}
operators: {listen: %q, token: %s}
platform: {address: %q, config: %v%s}
%s`, m.Host, m.Hall, m.Callers, f.idleTimeout(), m.Peers, advertise, f.Members[0].Peers, f.Members[1].Peers, links, m.Operators, operatorToken, storeAddress, f.Configuration != nil, reads, f.extra)
	if f.AnnouncedService != "" {
		text += fmt.Sprintf("\nannounced: {listen: %q, address: %q, service: %s}\n", m.Control, m.Endpoint, f.AnnouncedService)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fault.Wrap(err, fault.Unavailable, path, "cannot be written")
	}
	var err error
	m.node, err = f.spawn(m.Host, "lynxplankd", "-config", path)
	return err
}

// idleTimeout is the callers' idle timeout as a further setting of its section, "" for none.
func (f *Fleet) idleTimeout() string {
	if f.CallersIdleTimeout == 0 {
		return ""
	}
	return ", idle_timeout: " + f.CallersIdleTimeout.String()
}

// declare writes the declarations and has the operators' tool apply them.
func (f *Fleet) declare(service, cells string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "service:\n  %s: {%s}\nroute:\n  all: {service: %s}\n%s", service, cells, service, f.Routes)
	if f.AnnouncedService == "" {
		b.WriteString("endpoint:\n")
		for _, m := range f.Members {
			fmt.Fprintf(&b, "  %s: {service: %s, host: %s, hall: %s, address: %q}\n", m.Key(), service, m.Host, m.Hall, m.Endpoint)
		}
	}
	dir := filepath.Join(f.dir, "declarations")
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return fault.Wrap(err, fault.Unavailable, dir, "cannot be made")
	}
	if err := os.WriteFile(filepath.Join(dir, "fleet.yaml"), b.Bytes(), 0o600); err != nil {
		return fault.Wrap(err, fault.Unavailable, dir, "cannot be written")
	}
	_, err := f.Ctl("apply", "-source", "demo", dir)
	return err
}

// Ctl runs the operators' tool and returns what it prints.
func (f *Fleet) Ctl(args ...string) (string, error) {
	path := filepath.Join(f.dir, "ctl.yaml")
	text := fmt.Sprintf("author: demo\nplatform: {address: %q}\ntoken: %s\nnodes:\n", f.platform, operatorToken)
	for _, m := range f.Members {
		text += fmt.Sprintf("  - %q\n", m.Operators)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", fault.Wrap(err, fault.Unavailable, path, "cannot be written")
	}
	cmd := exec.Command(filepath.Join(f.bin, "lynxplankctl"), append([]string{"-config", path}, args...)...) //nolint:gosec // our own binary
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), fault.Wrap(err, fault.Internal, "lynxplankctl "+args[0], string(out))
	}
	return string(out), nil
}

// SetFaults switches the platform's faults.
func (f *Fleet) SetFaults(faults store.Faults) error {
	return post(f.platform+store.PathFaults, faults)
}

// Behave switches a member's endpoint; one that has ended is waited for.
func (m *Member) Behave(how backend.Behaviour) error {
	return m.whenUp(func() error { return post(m.Endpoint+backend.PathBehaviour, how) })
}

// Runs returns the endpoint's own record; one that has ended is waited for.
func (m *Member) Runs() (map[string]backend.Run, error) {
	runs := make(map[string]backend.Run)
	err := m.whenUp(func() error { return get(m.Endpoint+backend.PathRuns, &runs) })
	return runs, err
}

// Arrivals returns when work arrived at the member's endpoint, in Unix milliseconds in order.
func (m *Member) Arrivals() ([]int64, error) {
	var out []int64
	err := m.whenUp(func() error { return get(m.Endpoint+backend.PathArrivals, &out) })
	return out, err
}

// upLimit is how long an endpoint that has ended may be gone.
const upLimit = 5 * time.Second

// whenUp asks an endpoint until it answers, as long as upLimit.
func (m *Member) whenUp(ask func() error) error {
	end := time.Now().Add(upLimit)
	for {
		err := ask()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(lookEvery)
	}
}

// WaitReady waits until every running node may serve.
func (f *Fleet) WaitReady() error {
	return waitFor("nodes ready", func() bool {
		for _, m := range f.Members {
			if m.Running() && get(m.Operators+"/healthz", nil) != nil {
				return false
			}
		}
		return true
	})
}

// NodePID returns the process id of the member's node.
func (m *Member) NodePID() int { return m.node.cmd.Process.Pid }

// Status returns what the member's node says of itself.
func (m *Member) Status() (operator.Status, error) {
	var s operator.Status
	err := get(m.Operators+operator.PathStatus, &s)
	return s, err
}

// Running tells whether the member's node was started and has not been stopped or killed.
func (m *Member) Running() bool { return m.node != nil }

// StopNode is the planned stop of a member's node; it fails unless the node exits with 0.
func (m *Member) StopNode() error { return m.endNode(syscall.SIGTERM) }

// Signal sends a signal to a member's node and does not wait for its end.
func (m *Member) Signal(sig syscall.Signal) error { return m.node.cmd.Process.Signal(sig) }

// Throttle lets the node's process run for a part of each period only, as a limit of its processor time does, until stop is called
// or the process has ended.
func (m *Member) Throttle(period, runs time.Duration) (stop func()) {
	p, done := m.node.cmd.Process, make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		wait := func(d time.Duration) (open bool) {
			select {
			case <-done:
				return false
			case <-time.After(d):
				return true
			}
		}
		for open := true; open; {
			if p.Signal(syscall.SIGSTOP) != nil {
				return
			}
			open = wait(period - runs)
			if p.Signal(syscall.SIGCONT) != nil {
				return
			}
			open = open && wait(runs)
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// Ended waits for the end of a member's node and tells whether it came within a limit, with an error unless the node exited with 0.
func (m *Member) Ended(limit time.Duration) (bool, error) {
	select {
	case err := <-m.node.done:
		m.node = nil
		if err != nil {
			return true, fault.Wrap(err, fault.Internal, m.Host, "did not exit with 0")
		}
		return true, nil
	case <-time.After(limit):
		return false, nil
	}
}

// KillNode ends a member's node without notice.
func (m *Member) KillNode() error {
	_ = m.endNode(syscall.SIGKILL)
	return nil
}

func (m *Member) endNode(sig syscall.Signal) error {
	p := m.node
	m.node = nil
	return p.end(sig)
}

// Reload has a member's node look at its settings file.
func (m *Member) Reload() error { return m.node.cmd.Process.Signal(syscall.SIGHUP) }

// Row returns a row as it is in force at a member's node.
func (m *Member) Row(kind, key string) (operator.Row, error) {
	var row operator.Row
	err := get(m.Operators+operator.PathRow+"?kind="+kind+"&key="+key, &row)
	return row, err
}

// Pause freezes a member's node, or lets it go on.
func (m *Member) Pause(on bool) error {
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	return m.node.cmd.Process.Signal(sig)
}

func (p *process) end(sig syscall.Signal) error {
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fault.Wrap(err, fault.Internal, p.cmd.Path, "cannot be signalled")
	}
	if err := <-p.done; err != nil {
		return fault.Wrap(err, fault.Internal, p.cmd.Path, "did not exit with 0")
	}
	return nil
}

// wait returns once the process is gone, however it ended.
func (p *process) wait() {
	for range p.done {
		continue
	}
}

func (f *Fleet) spawn(name, program string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, name, "no log file")
	}
	cmd := exec.Command(filepath.Join(f.bin, program), args...) //nolint:gosec // our own binary
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, program, "cannot be started")
	}
	p := &process{cmd: cmd, done: make(chan error, 1)}
	f.mu.Lock()
	f.started = append(f.started, p)
	f.mu.Unlock()
	go func() {
		p.done <- cmd.Wait()
		close(p.done)
		_ = out.Close()
	}()
	return p, nil
}

// Close ends every process that the fleet started and that still runs.
func (f *Fleet) Close() {
	for _, p := range f.started {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.started {
		p.wait()
	}
}
