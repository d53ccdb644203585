package peer

import (
	"io"
	"net"
	"testing"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// asked notes by which revisions it is asked for changes.
type pullRecorder struct {
	echoHandler
	from table.Revisions
}

// Deltas implements Handler.
func (a *pullRecorder) Deltas(from table.Revisions, _ bool) []*peerpb.Delta {
	a.from = from
	return nil
}

// TestAskersGetThePartsThatTheyKnow has nodes of older, this and later programs ask for changes: of parts that one does not know it gets
// nothing.
func TestAskersGetThePartsThatTheyKnow(t *testing.T) {
	for _, c := range []struct {
		pull *peerpb.Pull
		want int
	}{
		{&peerpb.Pull{}, int(table.PlaneHosts) + 1},
		{&peerpb.Pull{Fatal: true}, int(table.PlaneFatal) + 1},
		{&peerpb.Pull{Fatal: true, Planes: uint32(table.PlaneCount)}, table.PlaneCount},
		{&peerpb.Pull{Fatal: true, Planes: 99}, table.PlaneCount},
	} {
		if got := knownSources(c.pull); got != c.want {
			t.Errorf("parts known to %v: got %d, want %d", c.pull, got, c.want)
		}
	}
}

// TestOlderAskersGetNoFatalRows has a node of an older program ask for changes: rows of a kind that it does not know would make the whole
// answer unreadable to it, its hosts included.
func TestOlderAskersGetNoFatalRows(t *testing.T) {
	for _, knows := range []bool{true, false} {
		here, there := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, there) }()
		a := &pullRecorder{}
		m := &Manager{handler: a}
		m.servePull(here, &peerpb.Pull{From: &peerpb.Revisions{Rows: 3, Hosts: 5}, Fatal: knows})
		_ = here.Close()
		if got, want := a.from[table.PlaneFatal] == 0, knows; got != want {
			t.Errorf("fatal rows for an asker that knows them %v: got %v, want %v", knows, got, want)
		}
		if got, want := a.from[table.PlaneHosts], uint64(5); got != want {
			t.Errorf("hosts asked from: got %d, want %d", got, want)
		}
	}
}
