// Package balance chooses an endpoint for a request by weighted power-of-two-choices. It is pure: it gets the
// candidates and the random numbers, and returns the choice.
package balance
