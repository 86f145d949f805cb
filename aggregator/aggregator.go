// Package aggregator keeps the last report of each source, with values by key, and the sum of all
// of them. It does no I/O and takes the time as an argument.
package aggregator

import (
	"iter"
	"time"
)

// Value is a value that can be summed.
type Value[V any] interface {
	Plus(other V) V
	Minus(other V) V
}

// Aggregator holds the last report of each source. No host is covered by two reports. The zero value
// is ready to use; it is not safe for concurrent use.
type Aggregator[K comparable, V Value[V]] struct {
	bySource map[string]*report[K, V]
	sums     map[K]*sum[V]
	// hosts counts the hosts that all reports cover.
	hosts int
	// oldest is a time at or before the arrival of the oldest report.
	oldest time.Duration
}

// report is the last report of one source, received at at.
type report[K comparable, V any] struct {
	at     time.Duration
	hosts  int
	values map[K]V
}

// sum is the sum of a key's values in a number of reports. The number tells an empty sum from one
// that rounding has left near zero.
type sum[V any] struct {
	value   V
	reports int
}

// Set replaces the report of a source, which covers a number of hosts. values must not be changed
// afterwards.
func (a *Aggregator[K, V]) Set(now time.Duration, source string, hosts int, values map[K]V) {
	if a.bySource == nil {
		a.bySource, a.sums = make(map[string]*report[K, V]), make(map[K]*sum[V])
	}
	a.remove(source)
	for k, v := range values {
		s := a.sums[k]
		if s == nil {
			s = new(sum[V])
			a.sums[k] = s
		}
		s.value = s.value.Plus(v)
		s.reports++
	}
	if len(a.bySource) == 0 {
		a.oldest = now
	}
	a.hosts += hosts
	a.bySource[source] = &report[K, V]{at: now, hosts: hosts, values: values}
}

// remove removes the report of a source.
func (a *Aggregator[K, V]) remove(source string) {
	old := a.bySource[source]
	if old == nil {
		return
	}
	delete(a.bySource, source)
	a.hosts -= old.hosts
	for k, v := range old.values {
		s := a.sums[k]
		s.value = s.value.Minus(v)
		if s.reports--; s.reports == 0 {
			delete(a.sums, k)
		}
	}
}

// Keep removes the reports of sources for which keep returns false.
func (a *Aggregator[K, V]) Keep(keep func(source string) bool) {
	for source := range a.bySource {
		if !keep(source) {
			a.remove(source)
		}
	}
}

// Expire removes the reports older than maxAge.
func (a *Aggregator[K, V]) Expire(now, maxAge time.Duration) {
	if len(a.bySource) == 0 || now-a.oldest <= maxAge {
		return
	}
	a.oldest = now
	for source, from := range a.bySource {
		if now-from.at > maxAge {
			a.remove(source)
		} else {
			a.oldest = min(a.oldest, from.at)
		}
	}
}

// Hosts returns the number of hosts that the reports cover.
func (a *Aggregator[K, V]) Hosts() int { return a.hosts }

// Sums returns the sums of all reports by key, in no order.
func (a *Aggregator[K, V]) Sums() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for k, s := range a.sums {
			if !yield(k, s.value) {
				return
			}
		}
	}
}

// Without returns the sums of the reports, and the number of hosts that they cover, but for the
// sources for which exclude returns true.
func (a *Aggregator[K, V]) Without(exclude func(source string) bool) (sums map[K]V, hosts int) {
	type left struct {
		value   V
		reports int
	}
	rest := make(map[K]left, len(a.sums))
	for k, s := range a.sums {
		rest[k] = left{s.value, s.reports}
	}
	hosts = a.hosts
	for source, from := range a.bySource {
		if !exclude(source) {
			continue
		}
		hosts -= from.hosts
		for k, v := range from.values {
			s := rest[k]
			rest[k] = left{s.value.Minus(v), s.reports - 1}
		}
	}
	sums = make(map[K]V, len(rest))
	for k, s := range rest {
		if s.reports > 0 {
			sums[k] = s.value
		}
	}
	return sums, hosts
}
