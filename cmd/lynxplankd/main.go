// Command lynxplankd is a node: the one process of the fleet that runs beside an endpoint.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/lynxplank/lynxplank/node"
	"github.com/lynxplank/lynxplank/outbound"
	"github.com/lynxplank/lynxplank/settings"
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
	return serve(cfg)
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

func serve(cfg settings.Daemon) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	outbound.Tune()
	n, err := node.New(cfg, os.Stderr)
	if err == nil {
		err = n.Start(context.Background())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	<-signals
	if err := n.Stop(); err != nil {
		return exitFailed
	}
	return exitOK
}
