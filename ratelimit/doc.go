// Package ratelimit keeps customers to their limits at one node: it borrows from the homes of a customer's limit what requests need,
// and lends where this node is a home.
package ratelimit
