// Package demo runs a small fleet as separate processes on loopback, lets it fail in several ways under load and
// checks what happened to every request against the endpoints' own records.
package demo
