package region

import "testing"

// TestSetIntersections checks that a region must be in both lists of names, that an empty list restricts nothing, and
// that a restricted set excludes the unknown region.
func TestSetIntersections(t *testing.T) {
	for _, c := range []struct {
		route, customer []string
		allowed         map[string]bool
	}{
		{nil, nil, map[string]bool{"a": true, "": true}},
		{[]string{"a"}, nil, map[string]bool{"a": true, "b": false, "": false}},
		{nil, []string{"a", "b"}, map[string]bool{"a": true, "b": true, "c": false}},
		{[]string{"a", "b"}, []string{"b", "c"}, map[string]bool{"a": false, "b": true, "c": false}},
		{[]string{"a"}, []string{"b"}, map[string]bool{"a": false, "b": false, "": false}},
	} {
		s := Any.Intersect(c.route).Intersect(c.customer)
		for name, want := range c.allowed {
			if got := s.Allows(name); got != want {
				t.Errorf("%v and %v: got %q allowed %v, want %v", c.route, c.customer, name, got, want)
			}
		}
		if got, want := s.IsRestricted(), len(c.route)+len(c.customer) > 0; got != want {
			t.Errorf("%v and %v: got restricted %v, want %v", c.route, c.customer, got, want)
		}
	}
}
