// Package clock tells the time that goes on for everybody else: the steady clock of a host stands still while the host is suspended, and
// what one node lends another, or believes of it, ends all the same.
package clock
