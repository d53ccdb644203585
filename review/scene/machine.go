package scene

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the machines.
const (
	memoryMB     = 284
	restartDelay = 300 * time.Millisecond
)

// machine is a machine of the deployment with the node's process.
type machine struct {
	s        *stage
	name     string
	service  string
	outbound string
	control  string
	ready    string
	app      string
	settings string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	log   *os.File
}

// addMachine lays out a machine with free ports; start starts its node.
func (s *stage) addMachine(service string) (*machine, error) {
	m := &machine{s: s, service: service, name: fmt.Sprintf("sidecar-z1-%d", len(s.machines)+1)}
	var ports [6]uint16
	for i := range ports {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	at := func(i int) string { return loopback + ":" + strconv.Itoa(int(ports[i])) }
	m.outbound, m.control, m.ready, m.app = at(0), at(1), at(2), at(3)
	text := fill(s.layout, map[string]string{
		"nodeName": m.name, "zone": "z1", "zones": `{"z1":"r1"}`, "listen.outbound": m.outbound, "listen.control": m.control, "listen.ready": m.ready,
		"appAddr": m.app, "service": service, "ip": loopback, "ephemeralPorts.0": strconv.Itoa(int(ports[4])), "ephemeralPorts.1": strconv.Itoa(int(ports[5])),
		"platform.address": s.address, "limits.memoryMb": strconv.Itoa(memoryMB), "bounds.floorShare": "0.7", "bounds.retryBudgetRatio": "0.2",
		"bounds.budgetSlack": "56", "bounds.budgetWindowS": "10", "bounds.graceS": s.graceS,
	})
	m.settings = s.path(m.name + ".yaml")
	s.machines = append(s.machines, m)
	return m, os.WriteFile(m.settings, []byte(text), 0o600)
}

// addMachines lays out machines of one service, starts their nodes and waits until they are ready.
func (s *stage) addMachines(service string, count int) ([]*machine, error) {
	var list []*machine
	for range count {
		m, err := s.addMachine(service)
		if err == nil {
			err = m.launch()
		}
		if err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	for _, m := range list {
		if !m.awaitReady(10 * time.Second) {
			return nil, fmt.Errorf("%s is not ready", m.name)
		}
	}
	return list, nil
}

// launch starts the node with the command of the deploy file.
func (m *machine) launch() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(m.s.path(m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.s.program) //nolint:gosec // the command of the deploy file
	cmd.Env = append(os.Environ(), "LYNXPLANK_SETTINGS="+m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	m.cmd, m.ended, m.log = cmd, ended, log
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// stop ends the node's process.
func (m *machine) stop() {
	m.mu.Lock()
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// pid returns the process and a channel that is closed at its end.
func (m *machine) pid() (pid int, ended <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid, m.ended
}

// awaitReady asks the node for its readiness as the platform does, until it answers 200.
func (m *machine) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + m.ready + "/-/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// resident returns the memory of a process in MB, 0 if it has ended.
func resident(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
