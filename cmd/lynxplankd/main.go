// Command lynxplankd is a node: the one process of the fleet that runs beside an endpoint.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/httpclient"
	"github.com/lynxplank/lynxplank/node"
	"github.com/lynxplank/lynxplank/settings"
	"github.com/lynxplank/lynxplank/signals"
)

const (
	exitOK      = 0
	exitFailed  = 1
	exitSetting = 2
)

// settingsEnv names the settings file when no flag does.
const settingsEnv = "LYNXPLANK_SETTINGS"

func defaultPath() string {
	if path := os.Getenv(settingsEnv); path != "" {
		return path
	}
	return "lynxplankd.yaml"
}

func main() {
	os.Exit(run())
}

func run() int {
	path := flag.String("config", defaultPath(), "settings file, or $"+settingsEnv)
	check := flag.Bool("check", false, "check the settings and exit")
	show := flag.Bool("print", false, "print the resolved settings, secrets masked, and exit")
	flag.Parse()
	cfg := settings.DefaultDaemon()
	if err := settings.Load(*path, &cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSetting
	}
	switch {
	case *check:
		fmt.Println("settings ok")
		return exitOK
	case *show:
		return printSettings(cfg)
	}
	return serve(*path, cfg)
}

func printSettings(cfg settings.Daemon) int {
	text, err := settings.Print(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Print(text)
	return exitOK
}

// reloadEvery is the time between two looks at whether the settings file has changed without a signal.
const reloadEvery = 2 * time.Second

func serve(path string, cfg settings.Daemon) int {
	receiver := signals.NewReceiver()
	if _, received := receiver.Received(); received {
		// Nothing has been taken yet.
		return exitOK
	}
	go receiver.Run(context.Background())
	httpclient.Tune()
	out := events.NewWriter(os.Stdout)
	defer out.Close()
	n, err := node.New(cfg, out, node.WithSignals(receiver))
	if err == nil {
		err = n.Start(context.Background())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	go watchSettings(n, path)
	<-receiver.Stops()
	return stop(n, receiver.Stops())
}

// watchSettings reloads the settings at a signal, or when their file has changed. It has a goroutine of its own: a stop does not
// wait for a reload.
func watchSettings(n *node.Node, path string) {
	file := settings.NewWatch(path)
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	for {
		select {
		case <-signals.Reloads():
			reload(n, path)
		case <-tick.C:
			if file.Changed() {
				reload(n, path)
			}
		}
	}
}

// stop is the planned stop; the node is told of further signals.
func stop(n *node.Node, stops <-chan signals.Stop) int {
	ended := make(chan error, 1)
	go func() { ended <- n.Stop() }()
	for {
		select {
		case <-stops:
			n.RestartGrace()
		case err := <-ended:
			if err != nil {
				return exitFailed
			}
			return exitOK
		}
	}
}

func reload(n *node.Node, path string) {
	cfg := settings.DefaultDaemon()
	err := settings.Load(path, &cfg)
	n.Reload(cfg, err)
}
