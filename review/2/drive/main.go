// Command drive runs the review's case 2: a target that has left, whose node is killed, and whose heartbeat comes late.
package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/review/fleet"
)

const (
	work      = 100 * time.Millisecond
	settle    = 3 * time.Second
	seed      = 66
	bookLimit = 5 * time.Second
	// interval is the time between two requests at one machine.
	interval = 50 * time.Millisecond
	// killAfter is when the node is killed after it has acknowledged the target's word: it has written to the store by then.
	killAfter = 500 * time.Millisecond
	// restartAfter is the short delay after which the platform starts a killed process again.
	restartAfter = 500 * time.Millisecond
	// beatLate is how late the heartbeat comes.
	beatLate = 3 * time.Second
	// servesOn is how long the target serves on after its word that it leaves was acknowledged.
	servesOn = 9 * time.Second
	drain    = fleet.DrainSeconds * time.Second
)

func main() {
	fleet.Main([]fleet.Place{
		{Zone: "bkk-silom", Service: fleet.DocketDesk},
		{Zone: "bkk-bangna", Service: fleet.DocketDesk},
		{Zone: "bkk-nonthaburi", Service: fleet.DocketDesk},
		{Zone: "bkk-silom", Service: fleet.FilingHub},
		{Zone: "bkk-bangna", Service: fleet.FilingHub},
	}, run)
}

func run(f *fleet.Fleet, r *fleet.Record, trouble bool) (broken bool, err error) {
	if err := f.Start(fleet.SiteConfig(1)); err != nil {
		return false, err
	}
	var targets []*fleet.Target
	for i, m := range f.Machines {
		t, err := fleet.StartTarget(m, fmt.Sprintf("i-%d", i+1), work, uint64(seed+i), r)
		if err != nil {
			return false, err
		}
		targets = append(targets, t)
	}
	time.Sleep(settle)
	ctx, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	// The clients are at the machines that nothing happens to.
	var clients []*fleet.Client
	for i, m := range f.Machines[1:] {
		c := fleet.NewClient(m, fmt.Sprintf("book%d", i+1), http.MethodPost, fleet.PathBook, bookLimit, r)
		clients = append(clients, c)
		sending.Go(func() { c.Run(ctx, interval) })
	}
	time.Sleep(settle)
	acknowledged, err := leave(f.Machines[0], targets[0], r, trouble)
	stop()
	sending.Wait()
	for _, t := range targets {
		t.End()
	}
	if err != nil {
		return false, err
	}
	return judge(clients, targets[0], acknowledged, r)
}

// leave has a target leave, as one that never says draining: it says that it leaves, serves on and ends. With trouble, the
// node beside it is killed and started again meanwhile, and the heartbeat before its last word comes late. It returns when the
// word was acknowledged.
func leave(m *fleet.Machine, t *fleet.Target, r *fleet.Record, trouble bool) (acknowledged time.Time, err error) {
	late := t.NextBeat()
	t.StopBeats()
	written := time.Now()
	if !t.Leave() {
		return acknowledged, fmt.Errorf("the target's word was not acknowledged")
	}
	acknowledged = time.Now()
	if trouble {
		time.Sleep(killAfter)
		m.Kill()
		r.Say("node of %s killed", m.Name)
		time.Sleep(restartAfter)
		if err := m.Start(); err != nil {
			return acknowledged, err
		}
		time.Sleep(time.Until(written.Add(beatLate)))
		r.Say("target %s: heartbeat callSeq %d, written %v ago, arrives now", t.ID, late.Sequence, beatLate)
		t.SendBeat(late)
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	r.Say("target %s ends", t.ID)
	t.End()
	return acknowledged, nil
}

// judge counts the requests that the target began to run later than drainS after the acknowledgement.
func judge(clients []*fleet.Client, t *fleet.Target, acknowledged time.Time, r *fleet.Record) (broken bool, err error) {
	answers := make(map[string]fleet.Sent)
	served := 0
	for _, c := range clients {
		for _, s := range c.Sent() {
			answers[s.ID] = s
			if s.Err == nil && s.Status == http.StatusOK {
				served++
			}
		}
	}
	if served*2 < len(answers) {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	after, unserved := 0, 0
	for _, a := range t.Runs() {
		s, ok := answers[a.ID]
		if late := a.At.Sub(acknowledged); ok && late > drain {
			after++
			if s.Status != http.StatusOK {
				unserved++
			}
			r.Add("DRAIN: %s, sent at %s, reached %s %v after the acknowledgement, and ended with status %d", a.ID, s.Machine.Name, t.ID, late, s.Status)
		}
	}
	r.Say("requests sent %d, served %d; reached %s later than %v after it was acknowledged as leaving: %d, of which %d ended without its answer",
		len(answers), served, t.ID, drain, after, unserved)
	return after > 0, nil
}
