// Package inflight counts in-flight requests and background tasks, so that a planned stop can wait for them.
package inflight
