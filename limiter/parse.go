package limiter

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// maxRateLength is the most bytes that a rate may have.
	maxRateLength = 32
	// rateCharacters are the characters that a rate may have.
	rateCharacters = "0123456789."
)

// ParseError is a header whose rate can't be parsed.
type ParseError struct {
	// Text is the first value, cut after maxRateLength bytes.
	Text string
	// Values is the number of values that the header had.
	Values int
}

// Error describes what was found in place of a rate.
func (e *ParseError) Error() string {
	if e.Values > 1 {
		return fmt.Sprintf("limiter: found %d rates, the first %q, want one", e.Values, e.Text)
	}
	return fmt.Sprintf("limiter: rate %q is not a decimal number", e.Text)
}

// Parse reads the values of the header that names a limit, in requests a second. A missing
// header means Unlimited. The error is a *ParseError.
func Parse(values []string) (perSecond float64, err error) {
	if len(values) == 0 {
		return Unlimited, nil
	}
	text := strings.TrimSpace(values[0])
	invalid := &ParseError{Text: text[:min(len(text), maxRateLength)], Values: len(values)}
	if len(values) > 1 || len(text) > maxRateLength || strings.Trim(text, rateCharacters) != "" {
		return 0, invalid
	}
	perSecond, parseErr := strconv.ParseFloat(text, 64)
	if parseErr != nil {
		return 0, invalid
	}
	return perSecond, nil
}
