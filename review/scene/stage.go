package scene

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lynxplank/lynxplank/serve"
	"github.com/lynxplank/lynxplank/standin/store"
)

// stage holds the store, the machines and the record of one play.
type stage struct {
	start   time.Time
	dir     string
	program string
	layout  string
	store   *store.Store
	server  *serve.Server
	address string
	// bodyLimit is maxBodyBytes of the configuration.
	bodyLimit int
	// graceS is the bound of that name.
	graceS string

	mu       sync.Mutex
	record   *os.File
	machines []*machine
}

// newStage starts the stand-in of the platform's store and reads the deploy file.
func newStage(record string) (*stage, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &stage{start: time.Now(), record: f, store: store.New(), bodyLimit: 64 << 20, graceS: "6"}
	if err := s.readDeploy(); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "scene"); err != nil {
		return nil, err
	}
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	address := netip.AddrPortFrom(netip.MustParseAddr(loopback), port)
	s.address, s.server = address.String(), store.NewServer(s.store, address)
	return s, s.server.Start(context.Background())
}

const loopback = "127.0.0.1"

// runLine and templateLine find a role's command and template in the deploy file.
var (
	runLine      = regexp.MustCompile(`(?m)^run = "([^" ]+)"$`)
	templateLine = regexp.MustCompile(`(?m)^template = "([^"]+)"$`)
)

// readDeploy reads the node's command and the template of its settings from the deploy file.
func (s *stage) readDeploy() error {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	command, template := runLine.FindSubmatch(text), templateLine.FindSubmatch(text)
	if command == nil || template == nil {
		return errors.New("the deploy file names no command or no template")
	}
	s.program = string(command[1])
	layout, err := os.ReadFile(string(template[1])) //nolint:gosec // named by the deploy file
	s.layout = string(layout)
	return err
}

// note appends a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// since returns a moment as the record shows it, in seconds.
func (s *stage) since(at time.Time) float64 { return at.Sub(s.start).Seconds() }

// close ends all processes and the store.
func (s *stage) close() {
	for _, m := range s.machines {
		m.stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.server.Stop(ctx)
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}

// limit bounds a play.
const limit = 115 * time.Second

// endEarly ends everything at a signal, or when the play takes too long.
func (s *stage) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	s.note("cannot run: ended early")
	s.close()
	os.Exit(exitCannotRun)
}

// route is one route of the configuration.
type route struct {
	prefix, kind, service string
	timeoutS, aimS        float64
	attempts              int
}

// host is the host name of all routes.
const host = "ficu95.example"

// configure writes the operators' configuration into the store.
func (s *stage) configure(version int, routes ...route) error {
	rules, clusters := make([]map[string]any, 0, len(routes)), make([]map[string]any, 0, len(routes))
	seen := make(map[string]bool)
	for i, r := range routes {
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "kind": r.kind, "aimS": r.aimS, "priority": 1, "match": map[string]any{"pathPrefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutS": r.timeoutS, "maxAttempts": r.attempts},
		})
		if !seen[r.service] {
			clusters = append(clusters, map[string]any{"name": r.service, "healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false})
		}
		seen[r.service] = true
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": s.bodyLimit, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []any{map[string]any{"host": host, "rules": rules}}, "clusters": clusters,
	})
	if err != nil {
		return err
	}
	s.store.SetOperatorRow("op", "config", text)
	return nil
}

// The ports of a play lie below those that the system gives to connections.
const firstPort, lastPort = 20000, 30000

// nextPort is where the search for a free port goes on.
var nextPort = firstPort + os.Getpid()%(lastPort-firstPort)

// freePort returns a port of loopback on which nothing listens, each one once.
func freePort() (uint16, error) {
	for range lastPort - firstPort {
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, nextPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return uint16(nextPort), nil //nolint:gosec // below lastPort
	}
	return 0, errors.New("no port is free")
}

// section and gap are the parts of a settings template that are filled.
var (
	section = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	gap     = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills a template's sections and gaps; a section whose value is not given is left out.
func fill(layout string, values map[string]string) string {
	layout = section.ReplaceAllStringFunc(layout, func(text string) string {
		parts := section.FindStringSubmatch(text)
		if values[parts[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", values[parts[1]])
	})
	return gap.ReplaceAllStringFunc(layout, func(text string) string {
		return values[gap.FindStringSubmatch(text)[1]]
	})
}

// path returns a file of the temporary folder.
func (s *stage) path(name string) string { return filepath.Join(s.dir, name) }
