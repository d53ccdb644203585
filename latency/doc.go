// Package latency learns how long one endpoint's work takes, kind by kind, and tells when work of an age is overdue.
//
// An endpoint does work of very different lengths: a lookup of 100 ms stands beside a booking of 500 ms. One usual time for
// all of it calls a silent lookup overdue when its caller has long given up.
package latency
