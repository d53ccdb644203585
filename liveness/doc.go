// Package liveness judges a connection by the times at which questions were sent and answered on it. It has no clock and no
// network: its callers state the times.
package liveness
