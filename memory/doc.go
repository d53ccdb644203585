// Package memory bounds the bytes that a node holds for slow readers and senders: one budget for all of its exchanges,
// divided fairly among customers.
package memory
