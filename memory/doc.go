// Package memory shares what a node may hold for those who are slow to read or to send: one budget of bytes over all of its exchanges,
// fair among customers.
package memory
