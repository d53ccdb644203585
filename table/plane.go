package table

// Plane says where a row comes from. Each plane has revisions of its own; a row belongs to one plane, and a row of a
// later plane hides one of the same key in an earlier plane.
type Source uint8

// The planes.
const (
	// PlaneRows is what operators write with the product's own tool.
	SourceRows Source = iota
	// PlaneConfig is the configuration that the platform's operators write.
	SourceConfig
	// PlaneHosts is what nodes announce of the endpoints beside them.
	SourceHosts
	// PlaneFatal is what nodes tell of requests under which endpoints ended.
	SourcePoison
	// PlaneHalls is what the platform's operators say of halls.
	SourceHalls
	// planeCount is the number of planes.
	planeCount
)

var planeNames = []string{"rows", "config", "hosts", "fatal", "halls"}

// String returns the plane's name.
func (p Source) String() string {
	if p >= planeCount {
		return "unknown"
	}
	return planeNames[p]
}

// PlaneCount is the number of planes that this program knows.
const SourceCount = int(planeCount)

// Known tells whether the plane is one of this program's.
func (p Source) Valid() bool { return p < planeCount }

// sparse tells whether a reader of the plane may miss revisions: it sees whole configurations, of which the store keeps the
// newest alone, while the rows of the other planes carry the revisions of their own changes.
func (p Source) sparse() bool { return p == SourceConfig }

// Revisions is how far each plane has come.
type Revisions [planeCount]uint64

// Latest returns the later revision of each plane.
func (r Revisions) Latest(o Revisions) Revisions {
	for p := range r {
		r[p] = max(r[p], o[p])
	}
	return r
}

// Behind tells whether another node has come further in some plane.
func (r Revisions) Behind(o Revisions) bool {
	for p := range r {
		if r[p] < o[p] {
			return true
		}
	}
	return false
}
