// Package signals receives the process's signals from its start on: the stop signals SIGTERM and SIGINT, and SIGHUP, which asks
// for the settings to be read again. It also tells until when no stop signal can have been sent unnoticed.
//
// A library of the listeners installs a signal handler of its own when the process starts. Without this package, a signal that
// arrives before the node subscribes would reach only that handler and be lost; after that, the handler would still end the
// process after a timeout of its own.
package signals
