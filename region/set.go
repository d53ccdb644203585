package region

import "slices"

// Set holds the regions in which some data may be; the zero value allows all regions. It is immutable.
type Set struct {
	restricted bool
	names      []string
}

// Any is the set of all regions.
var Any Set

// Intersect returns the set restricted to the given regions; an empty list restricts nothing.
func (s Set) Intersect(names []string) Set {
	if len(names) == 0 {
		return s
	}
	allowed := slices.Clone(names)
	if s.restricted {
		allowed = slices.DeleteFunc(allowed, func(name string) bool { return !slices.Contains(s.names, name) })
	}
	return Set{restricted: true, names: allowed}
}

// IsRestricted reports whether the set excludes any region.
func (s Set) IsRestricted() bool { return s.restricted }

// Allows reports whether the data may be in a region. A restricted set excludes an unknown region, "".
func (s Set) Allows(name string) bool {
	return !s.restricted || name != "" && slices.Contains(s.names, name)
}

// Names returns the regions of a restricted set; the caller must not change them.
func (s Set) Names() []string { return s.names }
