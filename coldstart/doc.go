// Package coldstart limits the requests to an endpoint that is cold, or possibly cold, to what it can serve, whether or
// not the senders know that it is cold. Its limiter runs on the node beside the endpoint, through which all of the
// endpoint's requests go.
package coldstart
