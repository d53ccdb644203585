// Package operator serves the HTTP API for operators on a separate listener: the status, the routing explanations and the
// metrics of one node.
package operator
