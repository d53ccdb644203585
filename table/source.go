package table

// Source says where a configuration row comes from. Each source counts its own revisions. A row belongs to one source;
// of two rows with the same kind and key, the one whose source comes later in the list of sources takes precedence.
//
// Outside this process (wire, settings, printed names) a source is called a plane.
type Source uint8

// The sources, lowest precedence first.
const (
	// SourceRows holds the rows that operators write with the product's own command-line tool.
	SourceRows Source = iota
	// SourceConfig holds the configuration that the platform's operators write.
	SourceConfig
	// SourceHosts holds the endpoints that nodes announce for their own hosts.
	SourceHosts
	// SourcePoison holds the nodes' records of requests that crashed endpoints. Its printed name is "fatal".
	SourcePoison
	// SourceHalls holds the evacuations of halls by the platform's operators.
	SourceHalls
	// sourceCount is the number of sources.
	sourceCount
)

var sourceNames = []string{"rows", "config", "hosts", "fatal", "halls"}

// String returns the source's name.
func (s Source) String() string {
	if s >= sourceCount {
		return "unknown"
	}
	return sourceNames[s]
}

// SourceCount is the number of sources that this version of the program defines.
const SourceCount = int(sourceCount)

// Valid reports whether this version of the program defines the source.
func (s Source) Valid() bool { return s < sourceCount }

// snapshotOnly reports whether a node reads the source only as whole snapshots and may therefore miss revisions: the
// store keeps just the newest configuration. Rows of the other sources carry the revisions at which they changed.
func (s Source) snapshotOnly() bool { return s == SourceConfig }

// Revisions holds the current revision of each source.
type Revisions [sourceCount]uint64

// Latest returns the higher revision of each source.
func (r Revisions) Latest(o Revisions) Revisions {
	for p := range r {
		r[p] = max(r[p], o[p])
	}
	return r
}

// Behind reports whether o has a higher revision of at least one source.
func (r Revisions) Behind(o Revisions) bool {
	for p := range r {
		if r[p] < o[p] {
			return true
		}
	}
	return false
}
