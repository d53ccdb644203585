// Package signals takes the signals to stop from the first moment of a process on.
//
// A library of the listeners has a handler of its own from the start of the process: until the node asks, a signal would reach that alone and
// be lost, and later it ends the process by a clock of its own.
package signals
