// Package director chooses an endpoint for each request. It connects the pure packages eject (outlier detection),
// balance (load balancing) and subset to the running node: one control goroutine owns the detectors of all services
// that the node has sent requests to, and publishes an immutable view of each service. Request goroutines read the
// view, pick an endpoint and report the result over a bounded channel.
//
// For a large service the director tracks only a bounded number of endpoints, the members: those that its node sends
// requests to.
package director
