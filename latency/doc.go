// Package latency models the service times of one endpoint by kind of request, and computes when a request of some age
// is overdue.
//
// An endpoint's requests differ widely in length: a lookup takes 100 ms, a booking 500 ms. With one usual time for all
// of them, an unanswered lookup would count as overdue only long after its caller has given up.
package latency
