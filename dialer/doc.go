// Package dialer opens TCP connections whose silence the kernel finds: a connection may go silent without a reset, and then only
// a timeout ends it.
package dialer
