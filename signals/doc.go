// Package signals receives the stop signals, SIGTERM and SIGINT, from the start of the process.
//
// A library of the listeners installs a signal handler of its own when the process starts. Without this package, a signal that
// arrives before the node subscribes would reach only that handler and be lost; after that, the handler would still end the
// process after a timeout of its own.
package signals
