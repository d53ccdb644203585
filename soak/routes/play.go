package routes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/review/fleet"
	"github.com/lynxplank/lynxplank/standin/relay"
	"github.com/lynxplank/lynxplank/standin/store"
)

// Config is one play.
type Config struct {
	// Root holds the built node and the deploy folder, Dir takes the settings and logs.
	Root, Dir string
	// Seed draws the play.
	Seed uint64
	// Places are the machines.
	Places []fleet.Place
	// Length is the time in which disturbances and changes begin.
	Length time.Duration
	// Calm leaves out the disturbances.
	Calm bool
}

const (
	// requestLimit is how long a caller waits for an answer.
	requestLimit = 1500 * time.Millisecond
	// callInterval is the time between the requests of a caller.
	callInterval = 40 * time.Millisecond
	// ahead is how many requests a caller sends before it reads the first answer.
	ahead = 3
	// work is the mean work time of a target.
	work = 15 * time.Millisecond
	// keptRoutes is how many added routes a configuration has.
	keptRoutes = 2
	// neverThere begins the paths of requests that no configuration allows, nested is a longer prefix behind another.
	neverThere = "/never/"
	nested     = "inner/"
)

// play is a play under way.
type play struct {
	cfg   Config
	fleet *fleet.Fleet
	judge *judge
	// targets are the services by the ids of their targets.
	targets map[string]string
	// lives counts the processes of each node that have ended; busy has the signals to a node follow each other.
	lives []atomic.Int64
	busy  []sync.Mutex
	// cutting has the cuts of the store follow each other.
	cutting sync.Mutex
	// request numbers the requests.
	request atomic.Uint64
	// stores stand between each node and the store.
	stores []*relay.Proxy
	// prefixes are those that callers ask for.
	prefixes atomic.Pointer[[]string]
}

// Run does one play; it fails only when the play itself could not be done.
func Run(cfg Config) (verdict, error) {
	root := filepath.Join(cfg.Dir, "root")
	f, err := fleet.New(root, cfg.Dir, cfg.Places)
	if err != nil {
		return verdict{}, err
	}
	record, err := fleet.NewRecord(cfg.Dir + "/record.txt")
	if err != nil {
		return verdict{}, err
	}
	defer record.Close()
	defer f.Stop()
	p := &play{
		cfg: cfg, fleet: f, judge: newJudge(len(cfg.Places)), targets: make(map[string]string),
		lives: make([]atomic.Int64, len(cfg.Places)), busy: make([]sync.Mutex, len(cfg.Places)),
	}
	port, err := p.relayStore()
	defer p.closeRelays()
	if err != nil {
		return verdict{}, err
	}
	if err := deployWithRelays(cfg.Root, root, port); err != nil {
		return verdict{}, err
	}
	if err := f.Start(p.next()); err != nil {
		return verdict{}, err
	}
	p.judge.versions[0].acknowledged = time.Now()
	for i, m := range f.Machines {
		id := "i-" + strconv.Itoa(i+1)
		p.targets[id] = m.Service
		target, err := fleet.StartTarget(m, id, work, cfg.Seed, record)
		if err != nil {
			return verdict{}, err
		}
		defer target.End()
	}
	time.Sleep(touchTime)
	p.run()
	return p.judge.verdict(), nil
}

// relayStore has each machine reach the store by a relay at its own IP, and returns the port of the relays.
func (p *play) relayStore() (port string, err error) {
	port = "0"
	for _, m := range p.fleet.Machines {
		r, err := relay.NewAt(net.JoinHostPort(m.IP, port), p.fleet.StoreAddress)
		if err != nil {
			return "", err
		}
		p.stores = append(p.stores, r)
		if _, port, err = net.SplitHostPort(r.Address()); err != nil {
			return "", err
		}
	}
	return port, nil
}

func (p *play) closeRelays() {
	for _, r := range p.stores {
		r.Close()
	}
}

// deployWithRelays makes a folder like another with a built node, whose template names the relay of each machine as the store.
func deployWithRelays(from, to, port string) error {
	template, err := os.ReadFile(filepath.Join(from, "deploy", "node.yaml.tmpl"))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(to, "deploy"), 0o750); err != nil {
		return err
	}
	text := strings.ReplaceAll(string(template), "{{platform.address}}", "{{ip}}:"+port)
	if err := os.WriteFile(filepath.Join(to, "deploy", "node.yaml.tmpl"), []byte(text), 0o600); err != nil { //nolint:gosec // in the play's own temporary folder
		return err
	}
	return os.Symlink(filepath.Join(from, "target"), filepath.Join(to, "target"))
}

// next draws up the next configuration: two routes change their services, one is added and the oldest added one dropped.
func (p *play) next() fleet.Config {
	j := p.judge
	j.mu.Lock()
	defer j.mu.Unlock()
	n := uint64(1)
	if len(j.versions) > 0 {
		n = j.versions[len(j.versions)-1].number + 1 + rand.Uint64N(4) //nolint:gosec // no secret
	}
	c := fleet.SiteConfig(n)
	place := len(j.versions)
	services := [2]string{fleet.FilingHub, fleet.DocketDesk}
	rules := &c.Listeners[0].Rules
	v := version{number: n, sent: time.Now(), services: make(map[string]string)}
	set := func(prefix, service string) {
		v.services[prefix] = service
		rule := fleet.Rule{
			Name: "r-" + strings.Trim(strings.ReplaceAll(prefix, "/", "-"), "-"), Kind: "safe", Aim: 1, Match: fleet.Match{PathPrefix: prefix},
			Action: fleet.Action{Service: service, Timeout: 1, MaxAttempts: 2},
		}
		for i := range *rules {
			if (*rules)[i].Match.PathPrefix == prefix {
				(*rules)[i].Action.Service = service
				return
			}
		}
		*rules = append(*rules, rule)
	}
	set(fleet.PathStatus, services[place%2])
	set(fleet.PathStatus+nested, services[(place+1)%2])
	set(fleet.PathList, fleet.DocketDesk)
	asked := []string{fleet.PathStatus, fleet.PathStatus + nested, fleet.PathList, neverThere}
	for i := range 2 * keptRoutes {
		if place < i {
			break
		}
		prefix := fmt.Sprintf("/added-%d/", place-i)
		asked = append(asked, prefix)
		if i < keptRoutes {
			set(prefix, services[i%2])
		}
	}
	j.versions = append(j.versions, v)
	p.prefixes.Store(&asked)
	return c
}

// change writes a configuration.
func (p *play) change() {
	place := len(p.judge.versions)
	c := p.next()
	_ = p.fleet.Configure(c)
	p.judge.mu.Lock()
	defer p.judge.mu.Unlock()
	p.judge.versions[place].acknowledged = time.Now()
}

// run disturbs and changes until the play is over, while callers ask every node.
func (p *play) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers, actions sync.WaitGroup
	for i := range p.fleet.Machines {
		callers.Go(func() { p.call(ctx, i) })
		callers.Go(func() { p.callAhead(ctx, i) })
	}
	random := rand.New(rand.NewPCG(p.cfg.Seed, 0)) //nolint:gosec // seeded on purpose
	for end := time.Now().Add(p.cfg.Length); time.Now().Before(end); {
		// Storms and rests of changes.
		for range 1 + random.IntN(6) {
			p.change()
			time.Sleep(100*time.Millisecond + time.Duration(random.Int64N(int64(600*time.Millisecond))))
		}
		for range random.IntN(3) {
			i, kind, length := random.IntN(len(p.fleet.Machines)), random.IntN(10), 200*time.Millisecond+time.Duration(random.Int64N(int64(4*time.Second)))
			if !p.cfg.Calm {
				actions.Go(func() { p.disturb(i, kind, length) })
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(3500 * time.Millisecond))))
	}
	actions.Wait()
	time.Sleep(touchTime + applyLimit)
	cancel()
	callers.Wait()
}

// disturb does one disturbance; those of one node follow each other.
func (p *play) disturb(i, kind int, length time.Duration) {
	m := p.fleet.Machines[i]
	switch kind {
	case 0, 1, 2, 3:
		p.busy[i].Lock()
		defer p.busy[i].Unlock()
	}
	switch kind {
	case 0:
		end := p.judge.begin(i)
		m.Kill()
		p.restart(i, length, end)
	case 1:
		// A stop disturbs when its signal comes, and from the end of the process to the next one's start.
		p.judge.begin(i)()
		m.Terminate()
		p.restart(i, length, p.judge.begin(i))
	case 2:
		end := p.judge.begin(i)
		_ = m.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		_ = m.Signal(syscall.SIGCONT)
		end()
	case 3:
		// A reload is no excuse.
		_ = m.Signal(syscall.SIGHUP)
	case 4:
		p.fleet.Store.SetFaults(store.Faults{ForgetHistory: true})
	case 7, 8, 9:
		p.cutReaders(length)
	case 5, 6:
		faults := store.Faults{Down: kind == 5, DelayMillis: 20 * int(length/time.Second)}
		ends := make([]func(), 0, len(p.fleet.Machines))
		for k := range p.fleet.Machines {
			ends = append(ends, p.judge.begin(k))
		}
		p.fleet.Store.SetFaults(faults)
		time.Sleep(length)
		p.fleet.Store.SetFaults(store.Faults{})
		for _, end := range ends {
			end()
		}
	}
}

// readInterval is a time within which each node that reads the store has made a call.
const readInterval = 3500 * time.Millisecond

// cutReaders cuts the nodes that read the store off it. The others owe each change in time.
func (p *play) cutReaders(length time.Duration) {
	p.cutting.Lock()
	defer p.cutting.Unlock()
	before := make([]int, len(p.stores))
	for i, r := range p.stores {
		before[i] = r.Accepted()
	}
	time.Sleep(readInterval)
	for i, r := range p.stores {
		if r.Accepted() == before[i] {
			continue
		}
		end := p.judge.begin(i)
		r.Hold(relay.To, true)
		r.Hold(relay.From, true)
		defer func() {
			r.Hold(relay.To, false)
			r.Hold(relay.From, false)
			end()
		}()
	}
	time.Sleep(2 * length)
}

// restart starts a node that has ended.
func (p *play) restart(i int, pause time.Duration, started func()) {
	time.Sleep(pause)
	p.lives[i].Add(1)
	_ = p.fleet.Machines[i].Start()
	started()
}

// head returns the next request of a caller.
func (p *play) head(random *rand.Rand) (prefix, text string) {
	prefixes := *p.prefixes.Load()
	prefix = prefixes[random.IntN(len(prefixes))]
	path, id := fmt.Sprintf("%s%x", prefix, random.IntN(1<<12)), fmt.Sprintf("%016x", p.request.Add(1)|1<<40)
	return prefix, platform.EncodeCall(http.MethodGet, fleet.Host, path, id, requestLimit)
}

// call sends one request after the other on a kept connection.
func (p *play) call(ctx context.Context, i int) { p.callOn(ctx, i, 1) }

// callAhead sends some requests before it reads the first answer.
func (p *play) callAhead(ctx context.Context, i int) { p.callOn(ctx, i, ahead) }

func (p *play) callOn(ctx context.Context, i, depth int) {
	random := rand.New(rand.NewPCG(p.cfg.Seed, uint64(i*ahead+depth))) //nolint:gosec // seeded on purpose
	var c net.Conn
	var r *bufio.Reader
	for ctx.Err() == nil {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", p.fleet.Machines[i].Outbound(), requestLimit); err != nil {
				c = nil
				time.Sleep(callInterval)
				continue
			}
			r = bufio.NewReader(c)
		}
		if !p.exchange(c, r, i, depth, random) {
			_ = c.Close()
			c = nil
		}
		time.Sleep(time.Duration(depth) * callInterval)
	}
	if c != nil {
		_ = c.Close()
	}
}

// exchange sends requests on a connection and reads their answers; false if the connection is of no more use.
func (p *play) exchange(c net.Conn, r *bufio.Reader, i, depth int, random *rand.Rand) bool {
	life := int(p.lives[i].Load())
	outcomes := make([]outcome, 0, depth)
	var text strings.Builder
	for range depth {
		prefix, head := p.head(random)
		outcomes = append(outcomes, outcome{node: i, life: life, prefix: prefix})
		text.WriteString(head)
	}
	sent := time.Now()
	_ = c.SetDeadline(sent.Add(2 * requestLimit))
	if _, err := io.WriteString(c, text.String()); err != nil {
		return false
	}
	for _, o := range outcomes {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return false
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return false
		}
		o.sent, o.end = sent, time.Now()
		switch resp.StatusCode {
		case http.StatusOK:
			// The body begins with "answer of" and the target's id.
			if words := strings.Fields(string(body)); len(words) > 2 {
				o.service = p.targets[words[2]]
				p.judge.add(o)
			}
		case http.StatusNotFound:
			p.judge.add(o)
		}
		if resp.Close {
			return false
		}
	}
	return true
}
