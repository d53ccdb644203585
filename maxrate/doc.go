// Package maxrate keeps the requests to an endpoint at the rate that the endpoint states in its answers. Its limiter runs
// on the node beside the endpoint, through which all of the endpoint's requests go, so that the rate holds for the sum
// over all nodes.
package maxrate
