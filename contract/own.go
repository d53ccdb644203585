package contract

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/maxrate"
)

const (
	// anonymous is the customer's name for callers that name none.
	anonymous = "anonymous"
	// maxKeyLength and maxNameLength bound the length of an idempotency key and of a customer's name, in bytes.
	maxKeyLength  = 256
	maxNameLength = 128
)

// Native is the contract of the product's own header fields (docs/CALLERS.md). The settings name it "own".
type Native struct{}

// Call implements Contract.
func (Native) Call(h http.Header) (Call, *fault.Error) {
	c := Call{
		ID: uuid.NewString(), Customer: h.Get(header.Customer), Repeatable: h.Get(header.Repeatable),
		Key: h.Get(header.IdempotencyKey), Token: TokenOf(h),
	}
	if c.Customer == "" {
		c.Customer = anonymous
	}
	switch {
	case len(c.Customer) > maxNameLength:
		return c, fault.New(fault.BadRequest, header.Customer, header.Customer+" is too long")
	case c.Repeatable != "" && c.Repeatable != "yes" && c.Repeatable != "no":
		return c, fault.New(fault.BadRequest, header.Repeatable, header.Repeatable+` wants "yes" or "no"`)
	case len(c.Key) > maxKeyLength:
		return c, fault.New(fault.BadRequest, header.IdempotencyKey, header.IdempotencyKey+" is too long")
	}
	if bad := c.readDeadline(h.Get(header.Deadline)); bad != nil {
		return c, bad
	}
	return c, c.readAttempt(h.Get(header.Attempt))
}

func (c *Call) readDeadline(text string) *fault.Error {
	if text == "" {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return fault.New(fault.BadDeadline, header.Deadline, `want a time left with its unit, such as "1500ms"`)
	}
	c.Timeout = d
	return nil
}

func (c *Call) readAttempt(text string) *fault.Error {
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 {
		return fault.New(fault.BadRequest, header.Attempt, header.Attempt+" wants a whole number from 1")
	}
	c.Attempt = uint32(n)
	return nil
}

// Forward implements Contract.
func (Native) Forward(h http.Header, from Origin) []*peerpb.Header {
	fields := slices.DeleteFunc(header.FromHTTP(h), func(f *peerpb.Header) bool {
		return from.UsesCustomerKeys && (IsKeyField(f.GetName()) || SameFieldName(f.GetName(), header.Customer))
	})
	return append(fields, &peerpb.Header{Name: "X-Forwarded-For", Value: from.Address})
}

// Dispatch implements Contract.
func (Native) Dispatch(h http.Header, d Dispatch) {
	h.Set(header.Deadline, strconv.FormatInt(d.TimeLeft.Milliseconds(), 10)+"ms")
	h.Set(header.RequestID, d.ID)
	if d.Customer != "" {
		h.Set(header.Customer, d.Customer)
	}
}

// Answer implements Contract.
func (Native) Answer(_ int, h http.Header) Answer {
	return Answer{
		ID: h.Get(header.RequestID), NotRun: h.Get(header.NotRun) != "", Leaving: h.Get(header.Leaving) != "",
		MaxRate: maxrate.Parse(h[header.MaxRate]),
	}
}

// Unread implements Contract.
func (Native) Unread(h http.Header) []string {
	return UnreadFields(h, []string{header.RequestID, header.NotRun, header.Leaving, header.MaxRate})
}

// Return implements Contract.
func (Native) Return(h http.Header) []*peerpb.Header { return header.FromHTTP(h) }

// Outcome implements Contract.
func (Native) Outcome(h http.Header, o Outcome) {
	h.Set(header.Outcome, OutcomeName(o.Outcome))
	if o.ID != "" {
		h.Set(header.RequestID, o.ID)
	}
	if o.Replayed {
		h.Set(header.Replayed, "yes")
	}
	if o.RetryAfter > 0 {
		h.Set(header.RetryAfter, o.RetryAfter.String())
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(o.RetryAfter.Seconds()))))
	}
}

// OutcomeName returns the header value of an outcome: "ran", "not-run" or "unknown".
func OutcomeName(o peerpb.Outcome) string {
	switch o {
	case peerpb.Outcome_OUTCOME_RAN:
		return "ran"
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return "not-run"
	case peerpb.Outcome_OUTCOME_UNKNOWN, peerpb.Outcome_OUTCOME_UNSPECIFIED, peerpb.Outcome_OUTCOME_CLAIMED:
	}
	return "unknown"
}
