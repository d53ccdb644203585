// Package slotsearch decides how many endpoints a request asks for a free slot before it waits in a queue. It has no
// clock and does no I/O: callers record the results and carry out the decision.
package slotsearch
