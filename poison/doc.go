// Package poison knows requests by their content, whatever id they come with, and what is known of the endpoints that ended while
// they ran them: the policy and its rows, without clock, socket or goroutine.
package poison
