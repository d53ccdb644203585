package fleet

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a run: what was sent, answered and run, a line each, with the seconds since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record's file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Add writes a line.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

// Say writes a line and prints it.
func (r *Record) Say(format string, values ...any) {
	r.Add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
