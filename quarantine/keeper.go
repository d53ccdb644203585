package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// ranWithin is how lately a content must have run well beside this node for an endpoint's end not to be held against it: what
	// many callers ask for is under way at nearly every end.
	ranWithin = 10 * time.Second
	// mostContents bounds the contents of one word: several times the slots of an endpoint.
	mostContents = 64
	// passOn is to how many peers news is passed on: with three, nineteen in twenty nodes of any fleet hear it from hand to hand within a
	// few round trips, and the others by the row.
	passOn = 3
	// lookEvery is the time between two looks at what no longer counts and at what nobody has written.
	lookEvery = time.Second
)

// Links are the node's links to its peers.
type Links interface {
	// TellEnded tells at most so many connected peers, all of them below 0, of an endpoint that ended; it does not wait.
	SendPoisonReport(word *peerpb.Ended, most int)
}

// Config is the keeper's section of the settings.
type Config struct {
	// Host is this node's host.
	Host string
	// Retry is the time between two tries of a write while the platform fails, RetryMost what it doubles up to.
	RetryInterval, MaxRetryInterval time.Duration
	// Timeout bounds one write.
	Timeout time.Duration
}

// Keeper knows which requests end endpoints; it is a kernel component, and safe for concurrent use.
type Tracker struct {
	cfg      Config
	log      *zerolog.Logger
	links    Links
	snapshot func() *configsync.Snapshot
	table    changes.Table
	// ends is how many ends are known of each content; nobody asks anything else on the way of a request.
	ends atomic.Pointer[map[poison.Fingerprint]int]
	wake chan struct{}
	stop context.CancelFunc
	done chan struct{}

	mu    sync.Mutex
	known *known
	// ran are the contents that ran well lately, own those that it is up to this node to write, clear those whose rows it is to take
	// out, with since when: what came later stands.
	ran   *poison.Recent
	own   map[poison.Fingerprint]bool
	clear map[poison.Fingerprint]time.Time
	// revision is that of the rows that are known.
	revision uint64
}

// New returns a keeper that knows nothing.
func New(cfg Config, log *zerolog.Logger, t changes.Table, links Links, snapshot func() *configsync.Snapshot) *Tracker {
	k := &Tracker{
		cfg: cfg, log: log, table: t, links: links, snapshot: snapshot, wake: make(chan struct{}, 1), done: make(chan struct{}),
		known: newKnown(), ran: poison.NewRecent(), own: make(map[poison.Fingerprint]bool), clear: make(map[poison.Fingerprint]time.Time),
	}
	k.ends.Store(&map[poison.Fingerprint]int{})
	return k
}

// Start keeps the rows as they should be.
func (k *Tracker) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.stop = cancel
	go k.run(ctx)
	return nil
}

// Stop ends the writing.
func (k *Tracker) Stop(context.Context) error {
	k.stop()
	<-k.done
	return nil
}

// Ends returns how many endpoints are known to have ended under a content.
func (k *Tracker) Ends(c poison.Fingerprint) int { return (*k.ends.Load())[c] }

// Barred tells whether a content is kept from all endpoints.
func (k *Tracker) Barred(c poison.Fingerprint) bool { return k.Ends(c) >= poison.BlockThreshold }

// Counts returns how many contents are suspected and how many are barred.
func (k *Tracker) Counts() (suspected, barred int) {
	for _, n := range *k.ends.Load() {
		if n >= poison.BlockThreshold {
			barred++
		} else {
			suspected++
		}
	}
	return suspected, barred
}

// Ran notes that an endpoint beside this node ran a content to a good end: whatever ended others, it was not this.
func (k *Tracker) Ran(c poison.Fingerprint) {
	if c == (poison.Fingerprint{}) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.ran.Note(now, c)
	if k.Ends(c) > 0 {
		k.acquit(now, c)
	}
}

// acquit takes it that a content ran well: whatever ended endpoints, it was not this. The lock is held.
func (k *Tracker) acquit(now time.Time, c poison.Fingerprint) {
	if k.known.of(c).Ends == "" {
		return
	}
	k.clear[c] = now
	k.known.lift(c, k.known.of(c))
	k.publish()
	k.poke()
	k.links.SendPoisonReport(&peerpb.Ended{Contents: [][]byte{c[:]}, Ran: true}, -1)
}

// hearRan takes a peer's word that contents ran well, and passes on what of it is news.
func (k *Tracker) hearRan(word *peerpb.Ended) {
	now, hosts := time.Now(), k.snapshot().Hosts
	next := &peerpb.Ended{Ran: true}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, b := range word.GetContents() {
		c, ok := poison.FingerprintFromBytes(b)
		if !ok || !k.known.lift(c, k.known.of(c)) {
			continue
		}
		next.Contents = append(next.Contents, b)
		if k.rank(c, hosts) < mostTurns {
			k.clear[c] = now
		}
	}
	if len(next.GetContents()) > 0 {
		k.publish()
		k.poke()
		k.links.SendPoisonReport(next, passOn)
	}
}

// EndedHere takes it that the endpoint beside this node ended while it ran some contents.
func (k *Tracker) EndedHere(endpoint, service string, contents []poison.Fingerprint) {
	now := time.Now()
	end := poison.EndOf(endpoint, now)
	word := &peerpb.Ended{End: end, Service: service, AtMillis: now.UnixMilli()}
	k.mu.Lock()
	for _, c := range contents {
		if c == (poison.Fingerprint{}) || k.ran.Within(now, c, ranWithin) || !k.known.hear(now, c, service, end, now) {
			continue
		}
		k.own[c] = true
		word.Contents = append(word.Contents, c[:])
	}
	k.publish()
	k.mu.Unlock()
	if len(word.GetContents()) > 0 {
		k.links.SendPoisonReport(word, -1)
		k.poke()
	}
}

// Ended takes a peer's word of an endpoint that ended, and passes on what of it is news.
func (k *Tracker) HandleReport(word *peerpb.Ended) {
	if len(word.GetContents()) > mostContents {
		return
	}
	if word.GetRan() {
		k.hearRan(word)
		return
	}
	if word.GetEnd() == "" || word.GetService() == "" {
		return
	}
	now := time.Now()
	at := time.UnixMilli(min(word.GetAtMillis(), now.UnixMilli()))
	next := &peerpb.Ended{End: word.GetEnd(), Service: word.GetService(), AtMillis: word.GetAtMillis()}
	k.mu.Lock()
	for _, b := range word.GetContents() {
		c, ok := poison.FingerprintFromBytes(b)
		if !ok || !k.known.hear(now, c, word.GetService(), word.GetEnd(), at) {
			continue
		}
		if k.ran.Within(now, c, ranWithin) {
			// It ran well here just now. Without this word, 143 in a million requests are held back in drawn fleets, of those that many ask for,
			// where a third of the endpoints end at once now and then; with it none in 1.3 million.
			k.acquit(now, c)
			continue
		}
		next.Contents = append(next.Contents, b)
	}
	k.publish()
	k.mu.Unlock()
	if len(next.GetContents()) > 0 {
		k.links.SendPoisonReport(next, passOn)
	}
}

// Observe takes a new snapshot in force.
func (k *Tracker) Observe(snap *configsync.Snapshot) {
	revision := snap.State.Revisions()[table.SourcePoison]
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision == k.revision {
		return
	}
	k.revision = revision
	rows := make(map[poison.Fingerprint]table.Entry[table.PoisonRequest])
	snap.State.PoisonRequests(func(e table.Entry[table.PoisonRequest]) {
		if c, ok := poison.ParseFingerprint(e.Key); ok {
			rows[c] = e
		}
	})
	k.known.show(rows)
	k.publish()
	k.poke()
}

// publish shows the node's other parts what is known now, and logs what is barred from now on; the lock is held.
func (k *Tracker) publish() {
	ends := k.known.ends()
	old := *k.ends.Load()
	for c, n := range ends {
		if n >= poison.BlockThreshold && old[c] < poison.BlockThreshold {
			f := k.known.of(c)
			events.RequestBlocked.Log(k.log).Stringer("content", c).Str("service", f.Service).
				Strs("ends", f.Ends.List()).Time("at", f.At.Time()).Send()
		}
	}
	for c, n := range old {
		if _, ok := ends[c]; !ok && n >= poison.BlockThreshold {
			events.RequestUnblocked.Log(k.log).Stringer("content", c).Send()
		}
	}
	k.ends.Store(&ends)
}

// poke has the rows brought up to date.
func (k *Tracker) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}
