// Package quarantine blocks poison requests, those that crash the endpoints that run them. It collects the crashes that
// this node and its peers have observed, records them in the product's table, and reports to the node's other
// components how many crashes a request has caused.
package quarantine
