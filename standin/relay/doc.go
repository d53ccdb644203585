// Package relay stands on the way to an address and disturbs what passes: it holds, delays, resets or silences connections.
package relay
