package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// full returns a dispatch in which every field but the claim, which no offer has, is set.
func filledDispatch(t *testing.T) *peerpb.Dispatch {
	t.Helper()
	d := &peerpb.Dispatch{Headers: []*peerpb.Header{{Name: "a", Value: "b"}}}
	m := d.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch f.Kind() {
		case protoreflect.StringKind:
			m.Set(f, protoreflect.ValueOfString("x"))
		case protoreflect.BytesKind:
			m.Set(f, protoreflect.ValueOfBytes([]byte("x")))
		case protoreflect.BoolKind:
			m.Set(f, protoreflect.ValueOfBool(true))
		case protoreflect.Int64Kind:
			m.Set(f, protoreflect.ValueOfInt64(7))
		case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
			m.Set(f, protoreflect.ValueOfUint64(7))
		case protoreflect.Uint32Kind:
			m.Set(f, protoreflect.ValueOfUint32(7))
		case protoreflect.DoubleKind:
			m.Set(f, protoreflect.ValueOfFloat64(7))
		case protoreflect.MessageKind:
		default:
			t.Fatalf("field %s: kind %v is not filled", f.Name(), f.Kind())
		}
	}
	return d
}

// TestHandOverCompletesTheOffer checks that an offer and its hand-over together say all that the request's ingress said: a
// field that neither carries would hold at the ingress's own host only.
func TestHandOverCompletesTheOffer(t *testing.T) {
	want := filledDispatch(t)
	got := offerOf(want)
	complete(got, goOf(want))
	if !proto.Equal(got, want) {
		t.Errorf("dispatch after the hand-over: got %v, want %v", got, want)
	}
}
