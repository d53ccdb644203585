package kernel

import (
	"context"
	"sync"

	"github.com/lynxplank/lynxplank/fault"
)

// Component is a long-lived part of a program.
type Component interface {
	// Start starts the component and returns once it is ready for use.
	Start(ctx context.Context) error
	// Stop stops the component; ctx bounds the time for finishing work in flight.
	Stop(ctx context.Context) error
}

// Kernel is a registry of a program's services by name. It starts and stops those that are components.
type Kernel struct {
	mu       sync.RWMutex
	services map[string]any
	order    []string
	started  []Component
}

// New returns a kernel with no services.
func New() *Kernel {
	return &Kernel{services: make(map[string]any)}
}

// Register adds a service under a name. Components are started in the order of their registration.
func (k *Kernel) Register(name string, service any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.services[name] = service
	k.order = append(k.order, name)
}

// Lookup returns the service registered under a name. It fails with UnknownName if there is none or it has another type.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	service, ok := k.services[name].(T)
	if !ok {
		return service, fault.New(fault.UnknownName, name, "no such service in this program")
	}
	return service, nil
}

// Start starts every component. If one fails, it stops those already started and returns the error.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.order {
		c, ok := k.services[name].(Component)
		if !ok {
			continue
		}
		if err := c.Start(ctx); err != nil {
			_ = k.Stop(ctx)
			return fault.Wrap(err, fault.CodeOf(err), name, "component did not start")
		}
		k.started = append(k.started, c)
	}
	return nil
}

// Stop stops the started components in reverse order and returns the first error; an error does not keep it from stopping the
// others.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for i := len(k.started) - 1; i >= 0; i-- {
		if err := k.started[i].Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	k.started = nil
	return first
}
