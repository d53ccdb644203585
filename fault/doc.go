// Package fault gives every failure a type: a stable code, the operation that failed and its cause.
package fault
