package limiter

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// longest is the most characters of a rate.
	longest = 32
	// decimal are the characters of one.
	decimal = "0123456789."
)

// ParseError is a rate that can't be read.
type ParseError struct {
	// Text is what was found, cut after some characters.
	Text string
	// Values is how many values the header had.
	Values int
}

// Error tells what was found.
func (e *ParseError) Error() string {
	if e.Values > 1 {
		return fmt.Sprintf("limiter: %d rates, beginning with %q, in place of one", e.Values, e.Text)
	}
	return fmt.Sprintf("limiter: rate %q is no decimal number", e.Text)
}

// Parse reads the values of the header that names a limit, in requests a second. No
// value is Unlimited. The error is a *ParseError.
func Parse(values []string) (perSecond float64, err error) {
	if len(values) == 0 {
		return Unlimited, nil
	}
	text := strings.TrimSpace(values[0])
	fail := &ParseError{Text: text[:min(len(text), longest)], Values: len(values)}
	if len(values) > 1 || len(text) > longest || strings.Trim(text, decimal) != "" {
		return 0, fail
	}
	perSecond, parseErr := strconv.ParseFloat(text, 64)
	if parseErr != nil {
		return 0, fail
	}
	return perSecond, nil
}
