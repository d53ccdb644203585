// Package skipped lists the entries that this node could not decode and therefore skipped: entries of the
// configuration, of the product's table, and of what peers and endpoints report. Events, metrics and lynxplankctl call
// them "left out".
package skipped
