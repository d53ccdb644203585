// Package quarantine keeps requests that end the endpoints that run them from all endpoints: it gathers what this node and its peers
// have seen, keeps it in the product's own table, and tells the node's other parts what is known of a request.
package quarantine
