// Package eject decides from real work alone which endpoints of a service are taken out and when they come back.
// It has no clock, no randomness and no goroutine: events come in with their time, verdicts go out as values.
//
// Each endpoint is watched by cumulative-sum tests (Page, 1954) of its failures and its slow answers against the
// service's other endpoints. The alarm threshold follows from the one number that the operator writes: how many
// false ejections per endpoint and day are bearable.
package eject
