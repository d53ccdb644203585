package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// stops receives the stop signals. Its initialization depends on no other package, so that it is registered before any
// library's handler.
var stops = register(make(chan os.Signal, 1))

func register(c chan os.Signal) chan os.Signal {
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	return c
}

// Stops returns the channel of the stop signals, which also holds one received since the start of the process, and removes
// every other handler of these signals.
func Stops() <-chan os.Signal {
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	return register(stops)
}
