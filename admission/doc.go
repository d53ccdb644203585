// Package admission decides, on the node beside an endpoint, which requests run now, which wait in a queue and which
// are refused at once. It is pure: callers pass in the time and carry out the returned decisions.
package admission
