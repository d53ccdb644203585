// Package slotuse adds up what the slots of one endpoint are used for: requests that run, requests that are overdue, slots
// held for dispatches that are not confirmed yet, and idle slots.
//
// It has no clock, goroutine or lock of its own, and needs no sampling: it integrates at the events that change the state.
// It is meant for endpoints of 4 to 10 slots and 200 requests a second.
package slotuse
