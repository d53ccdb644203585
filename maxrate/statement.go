package maxrate

import (
	"regexp"
	"strconv"
	"strings"
)

// Statement is what one answer of an endpoint says about the rate that the endpoint takes.
type Statement struct {
	// Kind tells whether there is a statement.
	Kind Kind
	// Rate is the number of requests a second that the endpoint takes from all nodes together, if Kind is Stated.
	Rate float64
}

// Kind is the kind of a Statement.
type Kind uint8

const (
	// Absent is an answer without a statement: the endpoint takes any rate.
	Absent Kind = iota
	// Stated is an answer that states a rate.
	Stated
	// Malformed is an answer whose statement cannot be read; it changes nothing.
	Malformed
)

const (
	// maxStatedRate is the highest rate, in requests a second, that counts as one.
	maxStatedRate = 1e6
	// maxLength bounds the text of a rate, in bytes.
	maxLength = 32
)

var decimal = regexp.MustCompile(`^([0-9]+(\.[0-9]*)?|\.[0-9]+)$`)

// Parse reads the values of the header field in which an endpoint states its rate as a decimal number. Values that
// contradict each other are malformed, as is a rate over a million.
func Parse(values []string) Statement {
	if len(values) == 0 {
		return Statement{Kind: Absent}
	}
	text := strings.TrimSpace(values[0])
	for _, v := range values[1:] {
		if strings.TrimSpace(v) != text {
			return Statement{Kind: Malformed}
		}
	}
	if len(text) > maxLength || !decimal.MatchString(text) {
		return Statement{Kind: Malformed}
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate > maxStatedRate {
		return Statement{Kind: Malformed}
	}
	return Statement{Kind: Stated, Rate: rate}
}
