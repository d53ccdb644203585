package latency

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// mostKinds bounds the kinds that are told apart at one endpoint, about 6 KB; the one that was seen longest ago is
// forgotten first.
const mostKinds = 64

// Kinds holds a model for each kind of work of one endpoint; its owner locks it.
type Models struct {
	models *simplelru.LRU[string, *Model]
	// all stands for kinds that are not known yet.
	all Model
}

// NewKinds returns a value that knows nothing.
func NewModels() *Models {
	models, err := simplelru.NewLRU[string, *Model](mostKinds, nil)
	if err != nil {
		// It fails for a size below one only.
		panic(err)
	}
	return &Models{models: models}
}

// Note adds the time of one piece of work that ended well.
func (k *Models) Observe(kind string, d time.Duration) {
	k.all.Observe(d)
	m, ok := k.models.Get(kind)
	if !ok {
		m = new(Model)
		k.models.Add(kind, m)
	}
	m.Observe(d)
}

// Of returns the model of a kind; while too little of the kind was seen, one of work that usually takes so long, or of all
// work where usual is 0. It holds until the next Note.
func (k *Models) For(kind string, usual time.Duration) *Model {
	if m, ok := k.models.Peek(kind); ok && m.Known() {
		return m
	}
	if usual > 0 {
		return Prior(usual)
	}
	return &k.all
}
