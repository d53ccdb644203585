package peer

import (
	"io"
	"net"
	"testing"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// asked notes by which revisions it is asked for changes.
type asked struct {
	echo
	from table.Revisions
}

// Deltas implements Handler.
func (a *asked) Deltas(from table.Revisions, _ bool) []*peerpb.Delta {
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
		{&peerpb.Pull{}, int(table.SourceHosts) + 1},
		{&peerpb.Pull{Fatal: true}, int(table.SourcePoison) + 1},
		{&peerpb.Pull{Fatal: true, Planes: uint32(table.SourceCount)}, table.SourceCount},
		{&peerpb.Pull{Fatal: true, Planes: 99}, table.SourceCount},
	} {
		if got := knownPlanes(c.pull); got != c.want {
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
		a := &asked{}
		m := &Manager{handler: a}
		m.servePull(here, &peerpb.Pull{From: &peerpb.Revisions{Rows: 3, Hosts: 5}, Fatal: knows})
		_ = here.Close()
		if got, want := a.from[table.SourcePoison] == 0, knows; got != want {
			t.Errorf("fatal rows for an asker that knows them %v: got %v, want %v", knows, got, want)
		}
		if got, want := a.from[table.SourceHosts], uint64(5); got != want {
			t.Errorf("hosts asked from: got %d, want %d", got, want)
		}
	}
}
