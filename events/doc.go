// Package events defines the numbered events that the programs log, and limits how many log lines each event may write.
// docs/EVENTS.md is the catalogue of events.
package events
