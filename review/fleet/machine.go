package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The bounds of a small deployment of the users, in seconds where they are times.
const (
	DrainSeconds  = 2
	GraceSeconds  = 6
	memoryMiB     = 284
	retryRatio    = 0.2
	budgetWindow  = 10
	budgetSlack   = 56
	floorShare    = 0.7
	readyInterval = 50 * time.Millisecond
)

// Machine is a machine of the users: an address of its own, with a node and a target.
type Machine struct {
	// Name, Zone and Service are the machine's.
	Name, Zone, Service string
	// IP is its loopback address.
	IP string

	fleet   *Fleet
	command *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

// Outbound is where clients and the target send their requests.
func (m *Machine) Outbound() string { return m.at(m.fleet.ports.outbound) }

// Control is where the target sends its heartbeats.
func (m *Machine) Control() string { return m.at(m.fleet.ports.control) }

// App is where the target takes its requests.
func (m *Machine) App() string { return m.at(m.fleet.ports.app) }

// Ready is where the platform asks whether the node may get clients.
func (m *Machine) Ready() string { return m.at(m.fleet.ports.ready) }

func (m *Machine) at(port int) string { return m.IP + ":" + strconv.Itoa(port) }

// fields are the fields of the machine's settings by which the template is filled.
func (m *Machine) fields() map[string]any {
	zones := make(map[string]string)
	for _, other := range m.fleet.Machines {
		zones[other.Zone] = "bkk"
	}
	return map[string]any{
		"nodeName": m.Name, "zone": m.Zone, "zones": zones, "listen.outbound": m.Outbound(), "listen.control": m.Control(),
		"listen.ready": m.Ready(), "appAddr": m.App(), "service": m.Service, "ip": m.IP, "ephemeralPorts.0": m.fleet.ports.first,
		"ephemeralPorts.1": m.fleet.ports.second, "platform.address": m.fleet.StoreAddress, "bounds.floorShare": floorShare,
		"bounds.retryBudgetRatio": retryRatio, "bounds.budgetSlack": budgetSlack, "bounds.budgetWindowS": budgetWindow,
		"limits.memoryMb": memoryMiB, "bounds.graceS": GraceSeconds,
	}
}

// Start starts the machine's node with the command of the deploy file.
func (m *Machine) Start() error {
	template, err := os.ReadFile(filepath.Join(m.fleet.root, "deploy", "node.yaml.tmpl"))
	if err != nil {
		return err
	}
	settings := filepath.Join(m.fleet.dir, m.Name+".yaml")
	text := []byte(fill(string(template), m.fields()))
	if err := os.WriteFile(settings, text, 0o600); err != nil { //nolint:gosec // in the case's own temporary folder
		return err
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(m.fleet.dir, m.Name+".log")); err != nil {
			return err
		}
	}
	m.command = exec.CommandContext(context.Background(), filepath.Join(m.fleet.root, "target", "lynxplankd")) //nolint:gosec // the command of the deploy file
	m.command.Dir = m.fleet.root
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "LYNXPLANK_SETTINGS=" + settings}
	m.command.Stdout, m.command.Stderr = m.log, m.log
	if err := m.command.Start(); err != nil {
		return err
	}
	command, ended := m.command, make(chan struct{})
	m.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// Signal sends the node a signal.
func (m *Machine) Signal(s syscall.Signal) error { return m.command.Process.Signal(s) }

// Wait waits for the node's end, for a time at most, and reports whether it has ended.
func (m *Machine) Wait(limit time.Duration) bool {
	select {
	case <-m.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill kills the node and waits for its end.
func (m *Machine) Kill() {
	_ = m.Signal(syscall.SIGKILL)
	<-m.ended
}

// Terminate stops the node as the platform does: SIGTERM, then SIGKILL after the grace.
func (m *Machine) Terminate() {
	_ = m.Signal(syscall.SIGTERM)
	if !m.Wait(GraceSeconds * time.Second) {
		m.Kill()
	}
}

// IsReady reports whether the node says that it may get clients.
func (m *Machine) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Ready()+"/-/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the node says that it may get clients.
func (m *Machine) AwaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(readyInterval) {
		if m.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", m.Name, limit)
}

// LogHas reports whether the node has written a line with all of these texts.
func (m *Machine) LogHas(texts ...string) bool {
	content, err := os.ReadFile(filepath.Join(m.fleet.dir, m.Name+".log"))
	if err != nil {
		return false
	}
lines:
	for line := range strings.SplitSeq(string(content), "\n") {
		for _, text := range texts {
			if !strings.Contains(line, text) {
				continue lines
			}
		}
		return true
	}
	return false
}
