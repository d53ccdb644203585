// Package events numbers every event that the programs log; docs/EVENTS.md is the catalogue.
package events
