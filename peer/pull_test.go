package peer

import (
	"io"
	"net"
	"testing"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// pullRecorder records the revisions from which changes are requested.
type pullRecorder struct {
	echoHandler
	from table.Revisions
}

// Deltas implements Handler.
func (a *pullRecorder) Deltas(from table.Revisions, _ bool) []*peerpb.Delta {
	a.from = from
	return nil
}

// TestPullExcludesUnknownSources checks which sources are sent to nodes of older, the same and later versions of the
// program: a node gets no changes of sources that it does not know.
func TestPullExcludesUnknownSources(t *testing.T) {
	for _, c := range []struct {
		pull *peerpb.Pull
		want int
	}{
		{&peerpb.Pull{}, int(table.SourceHosts) + 1},
		{&peerpb.Pull{Fatal: true}, int(table.SourcePoison) + 1},
		{&peerpb.Pull{Fatal: true, Planes: uint32(table.SourceCount)}, table.SourceCount},
		{&peerpb.Pull{Fatal: true, Planes: 99}, table.SourceCount},
	} {
		if got := knownSources(c.pull); got != c.want {
			t.Errorf("sources known to the sender of %v: got %d, want %d", c.pull, got, c.want)
		}
	}
}

// TestPullOfOlderPeerExcludesPoisonRows checks the changes sent to a node of an older version of the program: rows of a
// kind that it does not know would make the whole answer undecodable for it, including the hosts.
func TestPullOfOlderPeerExcludesPoisonRows(t *testing.T) {
	for _, knows := range []bool{true, false} {
		here, there := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, there) }()
		a := &pullRecorder{}
		m := &Manager{handler: a}
		m.servePull(here, &peerpb.Pull{From: &peerpb.Revisions{Rows: 3, Hosts: 5}, Fatal: knows})
		_ = here.Close()
		if got, want := a.from[table.SourcePoison] == 0, knows; got != want {
			t.Errorf("poison requests for a peer that knows them (%v): got %v, want %v", knows, got, want)
		}
		if got, want := a.from[table.SourceHosts], uint64(5); got != want {
			t.Errorf("revision of the hosts from which changes are requested: got %d, want %d", got, want)
		}
	}
}
