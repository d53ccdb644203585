package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/serve"
	"github.com/lynxplank/lynxplank/standin/store"
)

// ports are the ports that are the same on all machines.
type ports struct {
	outbound, control, ready, app, first, second int
}

// Fleet is a small deployment.
type Fleet struct {
	// Machines are its machines.
	Machines []*Machine
	// StoreAddress is the IP and port of the platform's store, Store the store itself.
	StoreAddress string
	Store        *store.Store

	root, dir string
	ports     ports
	server    *serve.Server
}

// Place is where a machine stands and of which service its target is.
type Place struct {
	// Zone and Service are the machine's.
	Zone, Service string
}

const (
	// network begins the addresses of the machines, storeIP is the store's.
	network = "127.0.77."
	storeIP = network + "250"
	// The ports that are tried lie below those that the kernel gives to outgoing connections; each process begins at another one.
	firstPort   = 21000
	lastPort    = 32000
	portBlocks  = 200
	portsOfCase = 30
)

var errNoPorts = errors.New("no free ports")

// New returns a fleet with a machine for each place; root is the repository, dir a temporary folder.
func New(root, dir string, places []Place) (*Fleet, error) {
	f := &Fleet{root: root, dir: dir}
	for i, p := range places {
		f.Machines = append(f.Machines, &Machine{
			Name: "sidecar-" + p.Zone + "-" + strconv.Itoa(i+1), Zone: p.Zone, Service: p.Service,
			IP: network + strconv.Itoa(i+1), fleet: f,
		})
	}
	free, err := f.freePorts(7)
	if err != nil {
		return nil, err
	}
	f.ports = ports{outbound: free[0], control: free[1], ready: free[2], app: free[3], first: free[4], second: free[5]}
	f.StoreAddress = storeIP + ":" + strconv.Itoa(free[6])
	return f, nil
}

// freePorts returns ports that are free at the addresses of all machines and of the store.
func (f *Fleet) freePorts(n int) ([]int, error) {
	var free []int
	for port := firstPort + os.Getpid()%portBlocks*portsOfCase; port < lastPort && len(free) < n; port++ {
		if f.isFree(port) {
			free = append(free, port)
		}
	}
	if len(free) < n {
		return nil, errNoPorts
	}
	return free, nil
}

func (f *Fleet) isFree(port int) bool {
	addresses := make([]string, 0, 1+len(f.Machines))
	addresses = append(addresses, storeIP)
	for _, m := range f.Machines {
		addresses = append(addresses, m.IP)
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", a+":"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// Start starts the platform's store with a configuration, and the nodes, and waits until all are ready.
func (f *Fleet) Start(config Config) error {
	address, err := netip.ParseAddrPort(f.StoreAddress)
	if err != nil {
		return err
	}
	f.Store = store.New()
	f.server = store.NewServer(f.Store, address)
	if err := f.server.Start(context.Background()); err != nil {
		return err
	}
	if err := f.Configure(config); err != nil {
		return err
	}
	for _, m := range f.Machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	for _, m := range f.Machines {
		if err := m.AwaitReady(startLimit); err != nil {
			return err
		}
	}
	return nil
}

const startLimit = 10 * time.Second

// Stop ends all processes that the fleet has started.
func (f *Fleet) Stop() {
	for _, m := range f.Machines {
		if m.command != nil && m.command.Process != nil {
			m.Kill()
		}
	}
	if f.server != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = f.server.Stop(ctx)
	}
}

// Configure writes the operator's configuration into the store.
func (f *Fleet) Configure(c Config) error {
	text, err := json.Marshal(c)
	if err == nil {
		f.Store.SetOperatorRow("op", "config", text)
	}
	return err
}
