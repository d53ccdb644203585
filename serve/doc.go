// Package serve runs an HTTP listener on go-zero's rest with every limit explicit and every policy of the
// framework (breaker, shedding, time-outs, its own end of the process) off.
package serve
