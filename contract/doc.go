// Package contract defines the header fields by which callers and endpoints exchange the metadata of requests and answers
// with a node: the product's native fields, or those of a platform that the product runs on (package platform).
package contract
