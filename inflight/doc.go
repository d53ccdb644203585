// Package inflight counts work under way, so that a planned stop can wait for it.
package inflight
