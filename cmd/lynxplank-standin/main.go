// Command lynxplank-standin takes the place of the platform or of an endpoint in tests and the demo.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lynxplank/lynxplank/httpclient"
	"github.com/lynxplank/lynxplank/standin/backend"
	"github.com/lynxplank/lynxplank/standin/store"
)

const stopGrace = 30 * time.Second

func main() {
	role := flag.String("role", "", `"platform" or "endpoint"`)
	listen := flag.String("listen", "127.0.0.1:0", "IP and port")
	name := flag.String("name", "endpoint", "the endpoint's name in its answers")
	how := flag.String("behaviour", `{"work_millis":2}`, "the endpoint's behaviour, JSON")
	seed := flag.Uint64("seed", 1, "seed of the endpoint's random faults")
	node := flag.String("node", "", "IP and port of the node through which an endpoint makes calls of its own")
	flag.Parse()
	if err := run(*role, *listen, *name, *how, *node, *seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(role, listen, name, how, node string, seed uint64) error {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return err
	}
	var server listener
	switch role {
	case "platform":
		server = store.NewServer(store.New(), address)
	case "endpoint":
		var b backend.Behaviour
		if err := json.Unmarshal([]byte(how), &b); err != nil {
			return err
		}
		endpoint := backend.New(name, b, seed)
		endpoint.CallThrough(node)
		server = backend.NewPort(endpoint, address)
	default:
		flag.Usage()
		os.Exit(2)
	}
	httpclient.Tune()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := server.Start(context.Background()); err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	return server.Stop(ctx)
}

// listener is a stand-in's port.
type listener interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}
