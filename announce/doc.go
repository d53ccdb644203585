// Package announce keeps this host's line in the product's own table of the platform's store, by which the other nodes
// find this one and the endpoints beside it. It writes on change only and never blocks whoever reports a change.
package announce
