package configsync

import (
	"context"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// message is an event that the control goroutine processes.
type message interface {
	apply(ctx context.Context, f *Follower)
}

// productRead is the result of one read of the product's table.
type productRead struct {
	// unchanged is true if the read returned no record.
	unchanged bool
	state     *table.State
	hosts     hostList
	// poisonRequests holds the rows of the requests during which endpoints crashed.
	poisonRequests *table.State
	// at is the store version that the read shows.
	at uint64
	// err is the error of a read that failed, took how long that read lasted.
	err  error
	took time.Duration
}

func (m productRead) apply(_ context.Context, f *Follower) {
	f.logFailedRead(table.SourceRows, m.err, m.took)
	err := m.err
	if err == nil {
		f.activateHostsRead(m)
		err = f.activateSource(table.SourceRows, m.state)
	}
	if err == nil {
		err = f.activateRead(table.SourcePoison, m.poisonRequests, m.at)
	}
	f.recordSourceStatus(table.SourceRows, err)
	f.checkReady()
}

// selfChanged reports that this host's local announcement has changed.
type selfChanged struct{}

func (selfChanged) apply(_ context.Context, f *Follower) {
	f.publishHosts()
}

// configRead is the result of one read of the platform operators' table.
type configRead struct {
	// config is the newest valid configuration, nil for none; halls holds the evacuation rows of halls.
	config *platform.Config
	halls  *table.State
	// at is the store version that the read shows.
	at uint64
	// invalid is the error of a configuration that cannot be decoded, err the error of a read that failed, took how long
	// that read lasted.
	invalid error
	err     error
	took    time.Duration
}

func (m configRead) apply(_ context.Context, f *Follower) {
	f.logFailedRead(table.SourceConfig, m.err, m.took)
	err := m.err
	if err == nil {
		f.noteWord()
	}
	if m.config != nil {
		err = f.activateConfig(*m.config)
	}
	if m.halls != nil && err == nil {
		err = f.activateRead(table.SourceHalls, m.halls, m.at)
	}
	f.recordSourceStatus(table.SourceConfig, err)
	if m.invalid != nil {
		f.recordSourceStatus(table.SourceConfig, m.invalid)
	}
	f.checkReady()
}

// logFailedRead logs a read of the platform that failed, with the time that it lasted: a read that waits for a change on a
// connection without signs of life lasts for seconds, one that the platform refuses ends at once.
func (f *Follower) logFailedRead(source table.Source, err error, took time.Duration) {
	if err != nil {
		events.ReadFailed.Log(f.log).Str("plane", source.String()).Dur("after", took).Err(err).Send()
	}
}
