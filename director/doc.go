// Package director joins the pure decisions to the running node: one goroutine owns the detectors of every service
// that the node meets and publishes what to do with each endpoint; traffic goroutines read it, choose an endpoint and
// send back what they saw over a bounded channel. Of a large service it sees to a bounded number of members alone, the
// endpoints that its node sends to.
package director
