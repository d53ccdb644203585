package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// queueSize is how many signals wait for a receiver that does not run; more of the same kind tell it nothing new.
const queueSize = 16

// stops receives the stop signals and the probes, reloads SIGHUP. Their initialization depends on no other package, so that they
// are registered before any library's handler.
var (
	stops   = register(make(chan os.Signal, queueSize))
	reloads = notify(make(chan os.Signal, 1), syscall.SIGHUP)
)

func register(c chan os.Signal) chan os.Signal {
	return notify(c, syscall.SIGTERM, syscall.SIGINT, probeSignal)
}

func notify(c chan os.Signal, list ...os.Signal) chan os.Signal {
	signal.Notify(c, list...)
	return c
}

// Reloads returns the channel of SIGHUP, which also holds one received since the start of the process.
func Reloads() <-chan os.Signal { return reloads }
