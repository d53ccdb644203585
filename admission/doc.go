// Package admission decides beside an endpoint which requests run now, which wait and which are refused at once.
// It is pure: the time comes in, decisions go out.
package admission
