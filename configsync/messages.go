package configsync

import (
	"context"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// message is one event for the control goroutine.
type message interface {
	apply(ctx context.Context, f *Follower)
}

// ownRead is the result of one look at the product's own table.
type ownRead struct {
	state *table.State
	hosts hostList
	// fatals holds what is known of requests under which endpoints ended.
	fatals *table.State
	// at is the store's version that the read shows.
	at  uint64
	err error
}

func (m ownRead) apply(_ context.Context, f *Follower) {
	err := m.err
	if err == nil {
		f.adoptReadHosts(m)
		err = f.adoptPlane(table.SourceRows, m.state)
	}
	if err == nil {
		err = f.adoptRead(table.SourcePoison, m.fatals, m.at)
	}
	f.notePlatform(table.SourceRows, err)
	f.checkReady()
}

// selfShown tells that this host's own line has changed.
type selfShown struct{}

func (selfShown) apply(_ context.Context, f *Follower) {
	f.putHosts()
}

// configRead is the result of one look at the platform's configuration.
type configRead struct {
	// config is the newest usable one, nil for none; halls holds what the platform's operators say of halls.
	config *platform.Config
	halls  *table.State
	// at is the store's version that the read shows.
	at uint64
	// bad is what is wrong with one that cannot be used, err why the platform could not be read.
	bad error
	err error
}

func (m configRead) apply(_ context.Context, f *Follower) {
	err := m.err
	if m.config != nil {
		err = f.adoptConfig(*m.config)
	}
	if m.halls != nil && err == nil {
		err = f.adoptRead(table.SourceHalls, m.halls, m.at)
	}
	f.notePlatform(table.SourceConfig, err)
	if m.bad != nil {
		f.notePlatform(table.SourceConfig, m.bad)
	}
	f.checkReady()
}
