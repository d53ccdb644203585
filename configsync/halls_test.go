package configsync

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

var testTime = time.Unix(1000, 0)

// evacuated returns a condition that holds when exactly these halls are evacuated.
func evacuated(halls ...string) func(*Snapshot) bool {
	return func(s *Snapshot) bool {
		var got []string
		for _, h := range s.State.EvacuatedHalls() {
			got = append(got, h.Hall)
		}
		return slices.Equal(got, halls)
	}
}

// evacuate writes or removes the evacuation row of a hall as the platform's operators do.
func evacuate(s *store.Store, hall string, on bool) {
	if on {
		s.SetOperatorRow(platform.TableOperators, platform.EvacuatePrefix+hall, []byte("{}"))
		return
	}
	s.RemoveOperatorRow(platform.TableOperators, platform.EvacuatePrefix+hall)
}

// TestPlatformEvacuatesHalls has the platform's operators evacuate halls and return them to service: one and two at
// once, during an outage, across a dropped history, and beside records that do not name a hall.
func TestPlatformEvacuatesHalls(t *testing.T) {
	s := store.New()
	evacuate(s, "a", true)
	f := startFollower(t, s)
	configure(t, s, "7", "x")
	wait(t, f, "evacuated before the start", func(s *Snapshot) bool { return s.Ready && evacuated("a")(s) })
	evacuate(s, "", true)
	evacuate(s, "c d", true)
	evacuate(s, "b", true)
	wait(t, f, "two at once, beside records that name no hall", evacuated("a", "b"))
	if got, want := len(f.skippedList.Entries()), 2; got != want {
		t.Errorf("skipped: got %v, want %d entries", f.skippedList.Entries(), want)
	}
	evacuate(s, "a", false)
	wait(t, f, "one returned to service", evacuated("b"))
	s.SetFaults(store.Faults{Down: true})
	evacuate(s, "b", false)
	evacuate(s, "c", true)
	s.SetFaults(store.Faults{ForgetHistory: true})
	wait(t, f, "changed during an outage", evacuated("c"))
	late := startFollower(t, s)
	wait(t, late, "a node that starts afterwards", evacuated("c"))
}

// TestLaterReadOverridesPeer checks that an evacuation received from a peer ends when a later read of the store does
// not show its row any more.
func TestLaterReadOverridesPeer(t *testing.T) {
	s := store.New()
	f := startFollower(t, s)
	configure(t, s, "7", "x")
	wait(t, f, "first", func(s *Snapshot) bool { return s.Ready })
	row, err := evacuationOf("a", platform.Record{Version: 1}, f.startedAt)
	if err != nil {
		t.Fatal(err)
	}
	d := table.Delta{Source: table.SourceHalls, To: 1, Full: true, Rows: []table.Row{row}}
	applied := make(chan error, 1)
	f.deliver(applyDelta{delta: d, done: applied})
	if err := <-applied; err != nil {
		t.Fatal(err)
	}
	s.SetOperatorRow(platform.TableOperators, "other", []byte("{}"))
	wait(t, f, "after a later read", evacuated())
}

// TestEvacuationsConverge has halls evacuated and returned to service while nodes read the store or pull from each
// other in any order: after a read, a node holds exactly the rows of the store.
func TestEvacuationsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := hallsModel{rows: make(map[string]uint64)}
		for range 3 {
			m.readers = append(m.readers, newRowSource(table.SourceHalls))
			m.states = append(m.states, table.NewState())
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := rapid.IntRange(0, len(m.states)-1).Draw(t, "node")
			hall := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "hall")
			switch rapid.SampledFrom([]string{"evacuate", "return", "read", "read whole", "pull"}).Draw(t, "what") {
			case "evacuate":
				m.write(hall, true)
			case "return":
				m.write(hall, false)
			case "read":
				m.read(t, n, false)
			case "read whole":
				m.read(t, n, true)
			case "pull":
				m.pull(t, n, rapid.IntRange(0, len(m.states)-1).Draw(t, "from"))
			}
		}
		for n := range m.states {
			m.read(t, n, rapid.Bool().Draw(t, "whole"))
			for _, hall := range []string{"a", "b", "c"} {
				if got, want := m.states[n].Evacuated(hall), m.rows[hall] != 0; got != want {
					t.Fatalf("node %d after a read: hall %s evacuated: got %v, want %v", n, hall, got, want)
				}
			}
		}
	})
}

// hallsModel models the evacuation rows of a store and the nodes that follow them.
type hallsModel struct {
	version uint64
	rows    map[string]uint64
	log     []platform.Record
	readers []*rowSource
	cursors [3]uint64
	loaded  [3]bool
	states  []*table.State
}

func (m *hallsModel) write(hall string, on bool) {
	if !on && m.rows[hall] == 0 {
		return
	}
	m.version++
	m.rows[hall] = m.version
	if !on {
		delete(m.rows, hall)
	}
	m.log = append(m.log, platform.Record{Key: hall, Version: m.version, Deleted: !on})
}

// read has a node read the changes since its last read, or the whole table.
func (m *hallsModel) read(t *rapid.T, n int, whole bool) {
	whole = whole || !m.loaded[n]
	m.loaded[n] = true
	var rows []table.Row
	for _, rec := range m.log {
		if rec.Version <= m.cursors[n] && !whole || whole && m.rows[rec.Key] != rec.Version {
			continue
		}
		row, err := evacuationOf(rec.Key, rec, testTime)
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, row)
	}
	if err := m.readers[n].note(rows, whole, m.version); err != nil {
		t.Fatal(err)
	}
	m.cursors[n] = m.version
	f := &Follower{}
	f.current.Store(&Snapshot{State: m.states[n]})
	if d, ok := f.readDelta(table.SourceHalls, m.readers[n].state, m.version); ok {
		m.apply(t, n, d)
	}
}

func (m *hallsModel) pull(t *rapid.T, n, from int) {
	if m.states[from].Revisions()[table.SourceHalls] > m.states[n].Revisions()[table.SourceHalls] {
		m.apply(t, n, m.states[from].DeltaSince(table.SourceHalls, m.states[n].Revisions()[table.SourceHalls]))
	}
}

func (m *hallsModel) apply(t *rapid.T, n int, d table.Delta) {
	next, err := m.states[n].With(d)
	if err != nil {
		t.Fatal(err)
	}
	m.states[n] = next
}
