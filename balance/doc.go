// Package balance chooses an endpoint for a request. It is pure: the view, the excluded endpoints and the random
// numbers come in, the choice goes out.
package balance
