package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// stops takes the signals to stop. It depends on no other package, so that it is registered before any library's handler.
var stops = register(make(chan os.Signal, 1))

func register(c chan os.Signal) chan os.Signal {
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	return c
}

// Stops returns the channel of the signals to stop, those since the start of the process included, and takes them from every other handler.
func Stops() <-chan os.Signal {
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	return register(stops)
}
