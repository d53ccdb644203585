// Package ratelimit enforces customers' rate limits at one node. It requests allotments from the owners of a customer's
// limit as requests arrive, and grants allotments to other nodes for the limits that this node is an owner of.
package ratelimit
