package settings

import (
	"fmt"
	"net/netip"
	"time"

	units "github.com/docker/go-units"
	"go.yaml.in/yaml/v3"
)

// Duration is a time span written with its unit, such as "250ms".
type Duration time.Duration

// Std returns the span as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalYAML reads a span of zero or more.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || v < 0 {
		return badValue(n, `a time span with a unit, such as "250ms"`)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML writes the span with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Size is a number of bytes written with its unit, such as "64KiB".
type Size int64

// UnmarshalYAML reads a size of zero or more.
func (s *Size) UnmarshalYAML(n *yaml.Node) error {
	v, err := units.RAMInBytes(n.Value)
	if err != nil || v < 0 {
		return badValue(n, `a size with a unit, such as "64KiB"`)
	}
	*s = Size(v)
	return nil
}

// MarshalYAML writes the size with its unit.
func (s Size) MarshalYAML() (any, error) { return units.BytesSize(float64(s)), nil }

// Address is an IP and port.
type Address struct {
	netip.AddrPort
}

// UnmarshalYAML reads an IP and port.
func (a *Address) UnmarshalYAML(n *yaml.Node) error {
	if n.Value == "" {
		a.AddrPort = netip.AddrPort{}
		return nil
	}
	v, err := netip.ParseAddrPort(n.Value)
	if err != nil {
		return badValue(n, `an IP and port, such as "127.0.0.1:8080"`)
	}
	a.AddrPort = v
	return nil
}

// MarshalYAML writes the IP and port.
func (a Address) MarshalYAML() (any, error) {
	if !a.IsValid() {
		return "", nil
	}
	return a.String(), nil
}

// Secret is a text that is never printed.
type Secret string

// MarshalYAML writes a mask.
func (s Secret) MarshalYAML() (any, error) {
	if s == "" {
		return "", nil
	}
	return "********", nil
}

// String returns a mask.
func (s Secret) String() string { return "********" }

func badValue(n *yaml.Node, want string) error {
	return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: want %s, got %q", n.Line, want, n.Value)}}
}
