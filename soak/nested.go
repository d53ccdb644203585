package soak

const (
	// nestedSettings switch on the parts that these runs test.
	nestedSettings = "overload: {nested_first: true, reclaim_slots: true, early_refusal: true, suspect_room: true}\n"
	// nestedRoute is for the endpoints' own calls alone: with the product's contract, only the route tells them from others.
	nestedRoute = "  nested: {service: " + serviceName + ", prefix: /nested}\n"
)

// NestedCalls counts the calls that endpoints made, by what they were told.
type NestedCalls struct {
	Ran, NotRun, Unknown int
}

// judgeNested looks for calls of endpoints, none of which may be repeated, that ran twice, and for such that were told not run
// and ran.
func (r *run) judgeNested() {
	for _, record := range r.report.Records {
		for call, own := range record {
			if own.Told == "" {
				continue
			}
			started := begun(call, r.report.Records)
			switch own.Told {
			case "ran":
				r.report.Nested.Ran++
			case "not-run":
				r.report.Nested.NotRun++
			default:
				r.report.Nested.Unknown++
			}
			if started > 1 || started == 1 && own.Told == "not-run" {
				r.breaks("call %s: begun %d times, told %s", call, started, own.Told)
			}
		}
	}
	if r.cfg.Nested && r.report.Nested.Ran == 0 {
		r.breaks("nested calls: none ran")
	}
}
