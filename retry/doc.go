// Package retry decides whether a request may be sent a further time.
package retry
