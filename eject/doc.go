// Package eject is the outlier detector: from the results of real requests alone it decides which endpoints of a
// service are ejected and when they return. It has no clock, no randomness and no goroutine: observations come in with
// their time, verdicts are returned as values.
//
// Each endpoint's failures and slow answers are compared with those of the service's other endpoints by cumulative-sum
// tests (Page, 1954). The alarm threshold follows from the one number that the operator sets: how many false ejections
// per endpoint and day are acceptable.
package eject
