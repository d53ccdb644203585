// Package changes commits operators' edits to the platform's table and reads the accepted changes back in order. Every
// accepted change takes the next revision, and the table holds a log entry for each of them.
package changes
