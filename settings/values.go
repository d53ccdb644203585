package settings

import (
	"fmt"
	"net/netip"
	"time"

	units "github.com/docker/go-units"
	"go.yaml.in/yaml/v3"
)

// Duration is a non-negative duration, written with its unit, such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalYAML parses a duration of zero or more.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || v < 0 {
		return badValue(n, `a time span with a unit, such as "250ms"`)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML formats the duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Size is a number of bytes written with its unit, such as "64KiB".
type Size int64

// UnmarshalYAML parses a size of zero or more.
func (s *Size) UnmarshalYAML(n *yaml.Node) error {
	v, err := units.RAMInBytes(n.Value)
	if err != nil || v < 0 {
		return badValue(n, `a size with a unit, such as "64KiB"`)
	}
	*s = Size(v)
	return nil
}

// MarshalYAML formats the size with its unit.
func (s Size) MarshalYAML() (any, error) { return units.BytesSize(float64(s)), nil }

// Address is an IP address and port; the zero value stands for an empty setting.
type Address struct {
	netip.AddrPort
}

// UnmarshalYAML parses an IP address and port, or an empty text.
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

// MarshalYAML formats the IP address and port, or returns an empty text for the zero value.
func (a Address) MarshalYAML() (any, error) {
	if !a.IsValid() {
		return "", nil
	}
	return a.String(), nil
}

// Secret is a string that is masked whenever it is printed.
type Secret string

// MarshalYAML returns a mask, or an empty text for an empty secret.
func (s Secret) MarshalYAML() (any, error) {
	if s == "" {
		return "", nil
	}
	return "********", nil
}

// String returns a mask.
func (s Secret) String() string { return "********" }

// badValue returns the error for a value that is not of the wanted form, in the format of the YAML package's errors.
func badValue(n *yaml.Node, want string) error {
	return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: want %s, got %q", n.Line, want, n.Value)}}
}
