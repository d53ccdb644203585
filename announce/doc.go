// Package announce maintains this host's announcement in the product's own table of the platform's store. The other
// nodes learn from it the address of this node and the endpoints beside it. The package writes only when the
// announcement has changed, and reporting a change never blocks. A host that the others cannot reach for too long is
// removed by one of them.
package announce
