// Package header names the HTTP header fields of the contract with callers and endpoints and copies fields between
// HTTP and the wire.
package header
