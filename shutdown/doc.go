// Package shutdown holds the times of a planned stop in one place: until when a stopping node serves as before, dispatches a
// request and waits for answers.
package shutdown
