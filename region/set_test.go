package region

import "testing"

// TestSets checks that each list of names binds, and that what is not known is in no bound set.
func TestSets(t *testing.T) {
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
			t.Errorf("%v and %v: got bound %v, want %v", c.route, c.customer, got, want)
		}
	}
}
