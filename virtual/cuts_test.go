// The race detector of some platforms does not survive thousands of goroutines in virtual time; make test runs this without it.

//go:build !race

package virtual

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

const (
	// touchTime is how long a node must have been undisturbed before it owes a change in time.
	touchTime = 3 * time.Second
	// cutRun is how long a fleet is disturbed, lookEvery the time between two looks at what its nodes hold.
	cutRun, lookEvery = 60 * time.Second, 10 * time.Millisecond
)

// cutSeeds is how many seeds TestNodesWithAPathToTheStoreAreInTime draws its disturbances from, firstCutSeed the first of them.
var (
	cutSeeds     = flag.Uint64("cut-seeds", 6, "number of seeds of cuts")
	firstCutSeed = flag.Uint64("first-cut-seed", 0, "first seed of cuts")
)

// cutFleet is a fleet whose ways are cut and whose connections go silent in a drawn order.
type cutFleet struct {
	*syncFleet
	random *rand.Rand
	mu     sync.Mutex
	// disturbedUntil is, by node, the end of the last disturbance of its connections as a whole or of its path to the store.
	disturbedUntil []time.Time
	// cutUntil is when a way between two nodes is open again.
	cutUntil map[[2]int]time.Time
	// acknowledged holds when each configuration was, by its version.
	acknowledged []time.Time
}

func (f *cutFleet) draw(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

func (f *cutFleet) disturbs(i int, length time.Duration) {
	if until := time.Now().Add(length); until.After(f.disturbedUntil[i]) {
		f.disturbedUntil[i] = until
	}
}

// cutWay cuts the way from one node to another for some time.
func (f *cutFleet) cutWay(from, to int, length time.Duration) {
	if from == to {
		return
	}
	way, until := [2]int{from, to}, time.Now().Add(length)
	if until.After(f.cutUntil[way]) {
		f.cutUntil[way] = until
	}
	f.net.Cut(f.nodes[from].host, f.nodes[to].host)
	time.AfterFunc(length, func() {
		if !time.Now().Before(f.cutUntil[way]) {
			f.net.Heal(f.nodes[from].host, f.nodes[to].host)
		}
	})
}

// cutSome cuts a node from a drawn share of the others, one way or both. Its path to the store is sound: it owes changes in time.
func (f *cutFleet) cutSome() {
	i, length := f.random.IntN(len(f.nodes)), 500*time.Millisecond+f.draw(9*time.Second)
	share, ways := []float64{0.2, 0.5, 1}[f.random.IntN(3)], 1+f.random.IntN(3)
	for k := range f.nodes {
		if f.random.Float64() >= share {
			continue
		}
		if ways&1 != 0 {
			f.cutWay(i, k, length)
		}
		if ways&2 != 0 {
			f.cutWay(k, i, length)
		}
	}
}

// cutHalls cuts the nodes of two halls from each other.
func (f *cutFleet) cutHalls() {
	a, length := f.random.IntN(fleetHalls), 500*time.Millisecond+f.draw(9*time.Second)
	for i := range f.nodes {
		for k := range f.nodes {
			if i%fleetHalls == a && k%fleetHalls != a {
				f.cutWay(i, k, length)
				f.cutWay(k, i, length)
			}
		}
	}
}

// cutStores cuts a drawn share of the nodes off the store; they owe nothing meanwhile, the others do.
func (f *cutFleet) cutStores() {
	share, length := []float64{0.1, 0.35}[f.random.IntN(2)], 500*time.Millisecond+f.draw(9*time.Second)
	for i := range f.nodes {
		if f.random.Float64() < share {
			f.cutStore(i, length)
		}
	}
}

// cutAway cuts a drawn share of the nodes, or a whole hall, off all others and the store. Half of the time they are cut off each other
// as well.
func (f *cutFleet) cutAway() {
	share, hall, length := []float64{0.1, 0.2, 0.35, 0}[f.random.IntN(4)], f.random.IntN(fleetHalls), 500*time.Millisecond+f.draw(9*time.Second)
	away, alone := make([]bool, len(f.nodes)), f.random.IntN(2) == 0
	for i := range f.nodes {
		away[i] = f.random.Float64() < share || share == 0 && i%fleetHalls == hall
	}
	for i := range f.nodes {
		if away[i] {
			f.cutStore(i, length)
		}
		for k := range f.nodes {
			if away[i] != away[k] || alone && away[i] {
				f.cutWay(i, k, length)
			}
		}
	}
}

// cutStore cuts a node off the store; it owes nothing meanwhile.
func (f *cutFleet) cutStore(i int, length time.Duration) {
	client := f.nodes[i].client
	f.disturbs(i, length)
	client.setCut(true)
	time.AfterFunc(length, func() {
		if !time.Now().Before(f.disturbedUntil[i]) {
			client.setCut(false)
		}
	})
}

// silenceSome has the connections of a drawn share of the nodes go silent.
func (f *cutFleet) silenceSome() {
	share := []float64{0.1, 0.5, 1}[f.random.IntN(3)]
	for i, n := range f.nodes {
		if f.random.Float64() >= share {
			continue
		}
		f.disturbs(i, 0)
		n.client.silence()
		for _, other := range f.nodes {
			f.net.Silence(n.host, other.host)
		}
	}
}

// disturb draws disturbances and changes until the run is over. Without mixed there is one disturbance after the other, and nodes are
// cut off all others and the store at once.
func (f *cutFleet) disturb(t *testing.T, mixed bool) {
	next := time.Now()
	for end := time.Now().Add(cutRun); time.Now().Before(end); time.Sleep(f.draw(1200 * time.Millisecond)) {
		switch kind := f.random.IntN(10); {
		case !mixed && !time.Now().Before(next):
			f.cutAway()
			next = time.Now().Add(15 * time.Second)
		case !mixed || kind > 5:
			f.change(t)
		default:
			[]func(){f.cutSome, f.cutSome, f.cutHalls, f.cutStores, f.silenceSome, f.cutAway}[kind]()
		}
	}
}

// change writes a configuration.
func (f *cutFleet) change(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configure(t)
	f.acknowledged = append(f.acknowledged, time.Now())
}

// late returns by how long a node holds a configuration too late, 0 if it does not, or if it was disturbed shortly before.
func (f *cutFleet) late(i int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, held := time.Now(), f.nodes[i].config()
	if now.Sub(f.disturbedUntil[i]) < touchTime || held >= f.version {
		return 0
	}
	// acknowledged[v] is that of version v+1.
	return max(now.Sub(f.acknowledged[held])-applyLimit, 0)
}

// TestNodesWithAPathToTheStoreAreInTime guards against a node that is cut off from other nodes, in one direction or in both, and holds
// a change later than 2 s after its acknowledgement although it reaches the store.
func TestNodesWithAPathToTheStoreAreInTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		for seed := *firstCutSeed; seed < *firstCutSeed+*cutSeeds; seed++ {
			for _, nodes := range []int{6, 21} {
				f := &cutFleet{
					syncFleet: startSyncFleet(t, nodes, platformSettings),
					random:    rand.New(rand.NewPCG(seed, uint64(nodes))), disturbedUntil: make([]time.Time, nodes), cutUntil: make(map[[2]int]time.Time),
				}
				f.acknowledged = []time.Time{time.Now()}
				time.Sleep(10 * time.Second)
				done := make(chan struct{})
				worst, where := make([]time.Duration, nodes), make([]string, nodes)
				go func() {
					defer close(done)
					f.disturb(t, seed%2 == 0)
				}()
				start := time.Now()
				for running := true; running; time.Sleep(lookEvery) {
					select {
					case <-done:
						running = false
					default:
					}
					for i := range f.nodes {
						if late := f.late(i); late > worst[i] {
							worst[i], where[i] = late, fmt.Sprint(time.Since(start))
						}
					}
				}
				for i, late := range worst {
					if late > 0 {
						t.Errorf("seed %d, %d nodes, node %d: got a change in force %v after its acknowledgement at %s, want at most %v", seed, nodes, i+1, applyLimit+late, where[i], applyLimit)
					}
				}
				time.Sleep(15 * time.Second)
				f.stop()
			}
		}
	})
}

// platformSettings are the settings of the users' platform.
var platformSettings = syncSettings{"platform", 500 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second, 3}

// worstOfRounds plays rounds with a fleet and returns the longest time that one took; play returns that of one round.
func worstOfRounds(t *testing.T, nodes, rounds int, play func(t *testing.T, f *syncFleet, draw func(time.Duration) time.Duration) time.Duration) time.Duration {
	t.Helper()
	f := startSyncFleet(t, nodes, platformSettings)
	random := rand.New(rand.NewPCG(1, 0))
	draw := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	time.Sleep(10 * time.Second)
	var worst time.Duration
	for range rounds {
		time.Sleep(draw(6 * time.Second))
		worst = max(worst, play(t, f, draw))
	}
	f.stop()
	return worst
}

// TestChangesAreInForceOnceThePathToTheStoreIsBack guards against a node without peers that goes on by an old configuration for longer
// than touchTime after its path to the store is back, because a read that began before gives no answer.
func TestChangesAreInForceOnceThePathToTheStoreIsBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		worst := worstOfRounds(t, 1, 2000, func(t *testing.T, f *syncFleet, draw func(time.Duration) time.Duration) time.Duration {
			f.nodes[0].client.setCut(true)
			// The links to peers are cut as well, and give no sign.
			time.AfterFunc(draw(4*time.Second), f.nodes[0].follower.ConnectionsSilent)
			time.Sleep(draw(5 * time.Second))
			version := f.configure(t)
			time.Sleep(draw(5 * time.Second))
			f.heal()
			last, _ := awaitVersion(f.nodes, version)
			return last
		})
		t.Logf("longest time after the path was back: %v", worst)
		if worst > touchTime {
			t.Errorf("change in force after the path was back: got %v, want at most %v", worst, touchTime)
		}
	})
}

// TestChangesAreInForceThoughTheConnectionToTheStoreIsSilent guards against the only reader of a fleet that holds a change later than
// 2 s after its acknowledgement, and later than touchTime after its connection to the store went silent, because its read waits longer.
func TestChangesAreInForceThoughTheConnectionToTheStoreIsSilent(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		worst := worstOfRounds(t, 1, 1000, func(t *testing.T, f *syncFleet, draw func(time.Duration) time.Duration) time.Duration {
			f.nodes[0].client.silence()
			before := draw(time.Second)
			time.Sleep(before)
			last, _ := awaitVersion(f.nodes, f.configure(t))
			return before + last
		})
		t.Logf("longest time after the connection went silent: %v", worst)
		if worst > touchTime {
			t.Errorf("change in force after the connection went silent: got %v, want at most %v", worst, touchTime)
		}
	})
}

// TestChangesAreInForceInAHallWhoseReadersLoseTheStore guards against nodes that reach the store and do not read it, as the readers of
// their hall, which they do reach, get no answer from it, and the hall is cut off all others.
func TestChangesAreInForceInAHallWhoseReadersLoseTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		for _, nodes := range []int{12, 21, 96} {
			worst := worstOfRounds(t, nodes, 12, func(t *testing.T, f *syncFleet, draw func(time.Duration) time.Duration) time.Duration {
				hall := int(draw(fleetHalls))
				f.cutHall(hall, true)
				var owed []*syncNode
				for _, n := range f.cutReaders(fmt.Sprintf("hall-%d", hall+1)) {
					if n.hall == f.nodes[hall].hall {
						owed = append(owed, n)
					}
				}
				time.Sleep(draw(5 * time.Second))
				last, _ := awaitVersion(owed, f.configure(t))
				f.cutHall(hall, false)
				f.heal()
				time.Sleep(10 * time.Second)
				return last
			})
			t.Logf("%d nodes: longest time after a change: %v", nodes, worst)
			if worst > applyLimit {
				t.Errorf("%d nodes: got a change in force after %v, want at most %v", nodes, worst, applyLimit)
			}
		}
	})
}

// cutHall cuts a hall off the others, or restores its ways to them.
func (f *syncFleet) cutHall(hall int, cut bool) {
	for i, a := range f.nodes {
		for k, b := range f.nodes {
			if (i%fleetHalls == hall) == (k%fleetHalls == hall) {
				continue
			}
			if cut {
				f.net.Cut(a.host, b.host)
			} else {
				f.net.Heal(a.host, b.host)
			}
		}
	}
}

// TestWordAgeGrowsWhileNobodyReads guards against a node that seems to know the newest configuration because links to others work,
// though the platform answers nobody.
func TestWordAgeGrowsWhileNobodyReads(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const cutFor = 6 * time.Second
		f := startSyncFleet(t, 6, platformSettings)
		time.Sleep(10 * time.Second)
		for _, n := range f.nodes {
			n.client.setCut(true)
		}
		time.Sleep(cutFor)
		for _, n := range f.nodes {
			if got, want := n.follower.WordAge(time.Now()), cutFor/3; got < want {
				t.Errorf("node %s: got word %v old, want at least %v", n.host, got, want)
			}
		}
		f.heal()
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			if got, want := n.follower.WordAge(time.Now()), time.Second; got > want {
				t.Errorf("node %s: got word %v old after the store answers again, want at most %v", n.host, got, want)
			}
		}
		f.stop()
	})
}
