package region

import "slices"

// Set is the regions in which some data may be; the zero value stands for any. It is immutable.
type Set struct {
	bound bool
	names []string
}

// Any is the set of all regions.
var Any Set

// With returns the regions that are also among some names; no names bind nothing.
func (s Set) Intersect(names []string) Set {
	if len(names) == 0 {
		return s
	}
	allowed := slices.Clone(names)
	if s.bound {
		allowed = slices.DeleteFunc(allowed, func(name string) bool { return !slices.Contains(s.names, name) })
	}
	return Set{bound: true, names: allowed}
}

// Bound tells whether the set leaves some region out.
func (s Set) IsRestricted() bool { return s.bound }

// Allows tells whether data may be in a region; where that is not known, "", it is not one of a bound set.
func (s Set) Allows(name string) bool {
	return !s.bound || name != "" && slices.Contains(s.names, name)
}

// Names returns the regions of a bound set; the caller must not change them.
func (s Set) Names() []string { return s.names }
