// Package contract says how callers and endpoints tell the product what it must know of a request and an answer: the
// product's own header fields, or those of a platform that it runs on.
package contract
