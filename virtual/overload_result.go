package virtual

import "strconv"

// Tally counts requests that arrived in the measured time.
type Tally struct {
	// Requests counts all, Served those answered by their deadline, InTime those answered by their latency target.
	Requests, Served, InTime int
	// Work is the work of those answered by their latency target, nested calls included, in seconds.
	Work float64
}

// ServedShare returns the share of the requests that were served.
func (t Tally) ServedShare() float64 { return float64(t.Served) / float64(max(t.Requests, 1)) }

// Goodput returns the work served in time in a number of runs, in seconds of work per second.
func (t Tally) Goodput(runs int) float64 {
	return t.Work / overloadMeasured.Seconds() / float64(runs)
}

func (t *Tally) add(x *exchange, served, inTime bool) {
	t.Requests++
	if served {
		t.Served++
	}
	if inTime {
		t.InTime++
		t.Work += (x.work + x.callWork).Seconds()
	}
}

// OverloadResult sums up what runs measured.
type OverloadResult struct {
	// Runs is the number of runs.
	Runs int
	// All counts the callers' requests, Groups those of each class and customer, Calls the nested calls.
	All, Calls Tally
	Groups     map[string]*Tally
	// Offers counts the endpoints that were asked to take a request or a call, Begun the requests and calls that
	// endpoints began, RanTwice the non-repeatable requests of which they began more than one.
	Offers, Begun, RanTwice int
	// HungSeconds is the time for which requests that are never answered held slots.
	HungSeconds float64
}

// group returns the tally of a class or customer.
func (r *OverloadResult) group(name string) *Tally {
	if r.Groups == nil {
		r.Groups = make(map[string]*Tally)
	}
	if r.Groups[name] == nil {
		r.Groups[name] = new(Tally)
	}
	return r.Groups[name]
}

// count adds the end of a request or call.
func (r *OverloadResult) count(x *exchange, served, inTime bool) {
	r.Begun += x.begun
	if !x.class.repeatable && x.begun > 1 {
		r.RanTwice++
	}
	if x.parent != nil {
		r.Calls.add(x, served, inTime)
		return
	}
	r.All.add(x, served, inTime)
	r.group(x.class.name).add(x, served, inTime)
	r.group("customer "+strconv.Itoa(x.customer)).add(x, served, inTime)
}
