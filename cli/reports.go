package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/ingress"
	"github.com/lynxplank/lynxplank/operator"
	"github.com/lynxplank/lynxplank/ratelimit"
	"github.com/lynxplank/lynxplank/settings"
	"github.com/lynxplank/lynxplank/skipped"
)

func reportCommands() []command {
	return []command{
		{name: "status", args: "", help: "show every node of the settings: revision in force, links, work", run: runStatus},
		{name: "customers", args: "[CUSTOMER]", help: "show what passed and was refused of customers with a limit, over all nodes of the settings", run: runCustomers},
		{name: "leftout", args: "", help: "show the entries that nodes of the settings could not understand and left out", run: runLeftOut},
		{name: "explain", args: "SERVICE [ENDPOINT]", help: "show why endpoints are in use or ejected, as each node sees it", run: runExplain},
	}
}

func (a *app) askNode(node settings.Address, path string, out any) error {
	ctx, cancel := context.WithTimeout(a.ctx, a.cfg.Platform.Timeout.Std())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.String()+path, nil)
	if err != nil {
		return fault.Wrap(err, fault.Internal, path, "request cannot be built")
	}
	req.Header.Set("Authorization", "Bearer "+string(a.cfg.Token))
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, node.String(), "node does not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, node.String(), "node answers "+strconv.Itoa(resp.StatusCode))
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fault.Wrap(err, fault.Protocol, node.String(), "node's answer cannot be read")
	}
	return nil
}

// runStatus prints a line for every node; it fails at the end if one did not answer.
func runStatus(a *app, f *flag.FlagSet) error {
	if f.NArg() != 0 {
		return wrongArgs(f)
	}
	var values []operator.Status
	var lines [][]string
	var failed error
	for _, node := range a.cfg.Nodes {
		var s operator.Status
		if err := a.askNode(node, operator.PathStatus, &s); err != nil {
			failed = err
			lines = append(lines, []string{node.String(), "-", "no answer", "-", "-", "-", "-", "-", "-", "-"})
			continue
		}
		values = append(values, s)
		busy, done := 0, uint64(0)
		for _, e := range s.Endpoints {
			busy += e.Busy + e.Waiting
			done += e.Finished
		}
		lines = append(lines, []string{
			s.Node, s.Hall, strconv.FormatBool(s.Ready), strconv.FormatUint(s.Revision, 10),
			strconv.FormatUint(s.Config, 10), strconv.FormatUint(s.HostsRevision, 10), readsOf(s),
			fmt.Sprintf("%d/%d", s.LinksDialed, s.LinksAccepted), strconv.Itoa(busy), strconv.FormatUint(done, 10),
		})
	}
	head := []string{"NODE", "HALL", "READY", "REVISION", "CONFIG", "HOSTS", "READS", "LINKS", "BUSY", "FINISHED"}
	if err := a.printReport(values, head, lines); err != nil {
		return err
	}
	return failed
}

// readsOf names the tables of the platform that a node reads itself.
func readsOf(s operator.Status) string {
	switch {
	case s.ReadsOwn && s.ReadsConfig:
		return "own,config"
	case s.ReadsOwn:
		return "own"
	case s.ReadsConfig:
		return "config"
	}
	return "-"
}

// nodeExplanation is an explanation with the node that gave it.
type nodeExplanation struct {
	Node string `json:"node"`
	director.Explanation
}

func runExplain(a *app, f *flag.FlagSet) error {
	if f.NArg() < 1 || f.NArg() > 2 {
		return wrongArgs(f)
	}
	var values []nodeExplanation
	var lines [][]string
	for _, node := range a.cfg.Nodes {
		var list []director.Explanation
		if err := a.askNode(node, operator.PathExplain+"?service="+url.QueryEscape(f.Arg(0)), &list); err != nil {
			return err
		}
		for _, e := range list {
			if f.NArg() == 2 && e.Endpoint != f.Arg(1) {
				continue
			}
			values = append(values, nodeExplanation{Node: node.String(), Explanation: e})
			lines = append(lines, []string{
				node.String(), e.Endpoint, e.Phase, strconv.FormatBool(e.Open), e.Test,
				strconv.FormatFloat(e.Score, 'f', 1, 64), strconv.FormatFloat(e.Threshold, 'f', 1, 64),
				strconv.FormatBool(e.HeldByFloor), strconv.Itoa(e.Ejections), evacuation(e), statedRate(e), suspicion(e),
			})
		}
	}
	head := []string{"NODE", "ENDPOINT", "PHASE", "OPEN", "TEST", "SCORE", "THRESHOLD", "HELD BY FLOOR", "EJECTIONS", "EVACUATED", "MAX RATE", "SUSPECT"}
	if err := a.printReport(values, head, lines); err != nil {
		return err
	}
	return a.printThrottles(f.Arg(0))
}

// printThrottles prints, for each node and route of a service, the requests of the last 2 s and the throttled share. It
// skips nodes of a version without throttles, and prints nothing in a format for programs, whose output is one list.
func (a *app) printThrottles(service string) error {
	if a.format != "table" {
		return nil
	}
	var lines [][]string
	for _, node := range a.cfg.Nodes {
		var list []ingress.Throttle
		if err := a.askNode(node, operator.PathThrottles+"?service="+url.QueryEscape(service), &list); err != nil {
			continue
		}
		for _, t := range list {
			lines = append(lines, []string{
				node.String(), t.Route, strconv.Itoa(t.Requests), strconv.Itoa(t.Accepted), strconv.Itoa(t.Throttled),
				strconv.FormatFloat(t.Share, 'f', 2, 64),
			})
		}
	}
	if len(lines) == 0 {
		return nil
	}
	fmt.Fprintln(a.out)
	return printTable(a.out, []string{"NODE", "ROUTE", "REQUESTS", "ACCEPTED", "THROTTLED", "SHARE"}, lines)
}

// suspicion says how likely a suspect is to answer, and how many more requests it takes.
func suspicion(e director.Explanation) string {
	switch {
	case !e.Trial:
		return "-"
	case e.SuccessChance == nil || e.TrialRoom == nil:
		return "trials only"
	}
	return fmt.Sprintf("chance %.2f, room %d", *e.SuccessChance, *e.TrialRoom)
}

// statedRate says which rate an endpoint states, since when, and what that has cost.
func statedRate(e director.Explanation) string {
	r := e.MaxRate
	if r == nil {
		return "-"
	}
	return fmt.Sprintf("%g/s since %s (%d refused, %d delayed)", r.PerSecond, r.Since.UTC().Format(time.TimeOnly), r.Refused, r.Delayed)
}

// evacuation says since when and by whom an endpoint's hall is evacuated.
func evacuation(e director.Explanation) string {
	if !e.Evacuated {
		return "-"
	}
	since, by := "?", cmp.Or(e.EvacuatedBy, "?")
	if !e.EvacuatedSince.IsZero() {
		since = e.EvacuatedSince.UTC().Format(time.RFC3339)
	}
	return "since " + since + " by " + by
}

// runCustomers adds up what the nodes say of each customer with a limit; with a customer's name it shows each node.
func runCustomers(a *app, f *flag.FlagSet) error {
	if f.NArg() > 1 {
		return wrongArgs(f)
	}
	all := make(map[string]ratelimit.Usage)
	var lines [][]string
	for _, node := range a.cfg.Nodes {
		var list []ratelimit.Usage
		if err := a.askNode(node, operator.PathCustomers, &list); err != nil {
			return err
		}
		for _, u := range list {
			if f.NArg() == 0 {
				all[u.Customer] = u.Plus(all[u.Customer])
			} else if u.Customer == f.Arg(0) {
				lines = append(lines, useLine(node.String(), u))
			}
		}
	}
	for _, customer := range slices.Sorted(maps.Keys(all)) {
		lines = append(lines, useLine("all", all[customer]))
	}
	head := []string{"NODE", "CUSTOMER", "LIMIT", "BURST", "PASSED", "REFUSED", "UNUSED", "LENT", "HOME"}
	return a.printReport(lines, head, lines)
}

// runLeftOut prints what each node could not understand.
func runLeftOut(a *app, f *flag.FlagSet) error {
	if f.NArg() != 0 {
		return wrongArgs(f)
	}
	var values []nodeEntry
	var lines [][]string
	for _, node := range a.cfg.Nodes {
		var list []skipped.Entry
		if err := a.askNode(node, operator.PathSkipped, &list); err != nil {
			return err
		}
		for _, e := range list {
			values = append(values, nodeEntry{Node: node.String(), Entry: e})
			lines = append(lines, []string{node.String(), string(e.Source), e.Where, e.Since.UTC().Format(time.RFC3339), e.Detail})
		}
	}
	return a.printReport(values, []string{"NODE", "SOURCE", "WHERE", "SINCE", "DETAIL"}, lines)
}

// nodeEntry is an entry that was left out with the node that did.
type nodeEntry struct {
	Node string `json:"node"`
	skipped.Entry
}

func useLine(node string, u ratelimit.Usage) []string {
	number := func(n uint64) string { return strconv.FormatUint(n, 10) }
	rate := func(r float64) string { return strconv.FormatFloat(r, 'g', -1, 64) }
	return []string{
		node, u.Customer, rate(u.Limit), rate(u.Burst), number(u.Passed), number(u.Refused), number(u.Unused), number(u.Granted),
		strconv.FormatBool(u.IsOwner),
	}
}
