package latency

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxKinds bounds the kinds of requests that are modeled separately per endpoint, which takes about 6 KB; the kind that
// was observed longest ago is dropped first.
const maxKinds = 64

// Models holds a model for each kind of request at one endpoint; its owner locks it.
type Models struct {
	models *simplelru.LRU[string, *Model]
	// overall is the model of all requests, for kinds without enough observations.
	overall Model
}

// NewModels returns models without observations.
func NewModels() *Models {
	models, err := simplelru.NewLRU[string, *Model](maxKinds, nil)
	if err != nil {
		// NewLRU fails only for a size below one.
		panic(err)
	}
	return &Models{models: models}
}

// Observe adds the time of a request that succeeded.
func (ms *Models) Observe(kind string, d time.Duration) {
	ms.overall.Observe(d)
	m, ok := ms.models.Get(kind)
	if !ok {
		m = new(Model)
		ms.models.Add(kind, m)
	}
	m.Observe(d)
}

// Knows reports whether a kind has enough observations for a model of its own.
func (ms *Models) Knows(kind string) bool {
	m, ok := ms.models.Peek(kind)
	return ok && m.Known()
}

// For returns the model of a kind. Until the kind has enough observations, it returns a prior of requests that usually
// take as long as usual, or the model of all requests if usual is 0. The model is valid until the next Observe.
func (ms *Models) For(kind string, usual time.Duration) *Model {
	if m, ok := ms.models.Peek(kind); ok && m.Known() {
		return m
	}
	if usual > 0 {
		return Prior(usual)
	}
	return &ms.overall
}
