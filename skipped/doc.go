// Package skipped remembers the entries that this node could not understand and so left out: of a configuration, of the tables, of
// what endpoints and peers say.
package skipped
