package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/standin/backend"
	"github.com/lynxplank/lynxplank/standin/store"
)

// Kind is what an action does.
type Kind string

// The kinds of action.
const (
	KillNode   Kind = "kill-node"
	StopNode   Kind = "stop-node"
	PauseNode  Kind = "pause-node"
	ReloadNode Kind = "reload-node"
	CutLinkTo  Kind = "cut-link-to"
	CutLinkOf  Kind = "cut-link-from"
	SlowLink   Kind = "slow-link"
	ResetLink  Kind = "reset-link"
	CutStore   Kind = "cut-store"
	StoreFault Kind = "store-fault"
	Endpoint   Kind = "endpoint"
	Weight     Kind = "weight"
	Drain      Kind = "drain"
)

// kinds lists every kind with how often it is drawn, relative to the others.
var kinds = []struct {
	kind   Kind
	weight int
}{
	{KillNode, 3},
	{StopNode, 3},
	{PauseNode, 3},
	{ReloadNode, 1},
	{CutLinkTo, 3},
	{CutLinkOf, 3},
	{SlowLink, 2},
	{ResetLink, 2},
	{CutStore, 2},
	{StoreFault, 4},
	{Endpoint, 5},
	{Weight, 4},
	{Drain, 3},
}

// Action is one fault, or one thing that operators do.
type Action struct {
	// At is when it begins, from the start of the callers' requests, and For how long it lasts.
	At, For time.Duration
	// Kind is what it does.
	Kind Kind
	// On is the number of the member that it strikes.
	On int
	// Delay is that of a slow link.
	Delay time.Duration
	// Store is a fault of the store, Behaviour one of an endpoint.
	Store     store.Faults
	Behaviour backend.Behaviour
	// Weight is the value that operators write.
	Weight string
	// Series is how a node is stopped.
	Series Series
	// Rate is what an endpoint states that it takes, in requests a second.
	Rate float64
	// Share is the part of the connections that go silent.
	Share float64
	// Leaving is how an endpoint leaves, Steps how it starts before.
	Leaving Leaving
	Steps   Steps
	// Gaps are the times after each of several configurations.
	Gaps []time.Duration
	// Limits are those that operators set.
	Limits limits
}

// String tells the action in one line.
func (a Action) String() string {
	return fmt.Sprintf("%6d ms for %4d ms: %s on %d", a.At.Milliseconds(), a.For.Milliseconds(), a.Kind, a.On)
}

const (
	// actionsPerSecond is how many actions begin in a second on the average: with these lengths about five overlap.
	actionsPerSecond = 3
	// shortest and longest bound an action's length: past the deadline of the callers' requests nothing new shows.
	shortest, longest = 100 * time.Millisecond, 4 * time.Second
	// calmBefore is the time before the first action.
	calmBefore = 500 * time.Millisecond
	// mostDelay bounds the delay of a slow link, each way.
	mostDelay = 300 * time.Millisecond
	// normalWork is the service time of a sound endpoint, in milliseconds: long enough that several requests are under way
	// whenever something strikes, short enough that the slots carry the rate.
	normalWork = 40
)

// Plan draws the actions of a run: the same seed draws the same.
func Plan(seed uint64, members int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, uint64(members))) //nolint:gosec // seeded on purpose
	count := int(length.Seconds() * actionsPerSecond)
	plan := make([]Action, 0, count)
	for range count {
		plan = append(plan, draw(r, members, length))
	}
	slices.SortStableFunc(plan, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// normal is how a sound endpoint behaves.
func normal() backend.Behaviour { return backend.Behaviour{WorkMillis: normalWork} }

// draw draws one action with all that any kind of action needs, so that a seed's draws do not depend on the kinds.
func draw(r *rand.Rand, members int, length time.Duration) Action {
	return Action{
		At:   calmBefore + time.Duration(r.Int64N(int64(length))),
		For:  shortest + time.Duration(r.Int64N(int64(longest-shortest))),
		Kind: drawKind(r), On: r.IntN(members), Delay: time.Duration(r.Int64N(int64(mostDelay))),
		Store: drawStore(r), Behaviour: drawBehaviour(r), Weight: []string{"0.25", "0.5", "1", "2"}[r.IntN(4)],
	}
}

// drawKind draws a kind by its weight in kinds.
func drawKind(r *rand.Rand) Kind {
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	at := r.IntN(sum)
	for _, k := range kinds {
		if at -= k.weight; at < 0 {
			return k.kind
		}
	}
	return KillNode
}

// drawStore draws a fault of the store, times in milliseconds.
func drawStore(r *rand.Rand) store.Faults {
	return []store.Faults{
		{Down: true},
		{DelayMillis: 50 + r.IntN(400)},
		{LoseReplies: 1 + r.IntN(3)},
		{LoseReplies: 1 + r.IntN(3), LateMillis: 200 + r.IntN(2000)},
		{ForgetHistory: true},
	}[r.IntN(5)]
}

// drawBehaviour draws how an endpoint misbehaves, times in milliseconds.
func drawBehaviour(r *rand.Rand) backend.Behaviour {
	b := []backend.Behaviour{
		{FailPercent: 20 + r.IntN(80)},
		{HalfPercent: 20 + r.IntN(80)},
		{HalfPercent: 50, HalfLength: 1 << 20},
		{HalfPercent: 50, HalfChunked: true},
		{SlowFactor: float64(5 + r.IntN(200))},
		{ShedAbove: -1},
		{FailPercent: 90, FlapMillis: 100 + r.IntN(800)},
		{ColdMillis: 1000},
		{ReportLoad: "stuck"},
		{Leaving: true},
	}[r.IntN(10)]
	b.WorkMillis = normalWork
	return b
}
