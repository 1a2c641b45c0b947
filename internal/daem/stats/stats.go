package stats

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// JSONPath is the path at which every daemon serves its metrics as JSON.
	JSONPath = "/metrics"
	// TextPath is the path at which a process with a metrics port serves its metrics
	// as text.
	TextPath = "/metrics.txt"
	// sampleSize is the number of observations that a histogram keeps.
	sampleSize = 512
	// sampleAlpha is the decay factor of a histogram's sample, which favours newer
	// observations. With this value, about half of a sample is from the last minute.
	sampleAlpha = 0.015
)

// Set is the set of metrics of one process. The zero value is ready for use. It is safe
// for concurrent use.
type Set struct {
	once     sync.Once
	registry metrics.Registry
}

// Count increments the named counter.
func (s *Set) Count(name string) { s.Add(name, 1) }

// Add adds n to the named counter.
func (s *Set) Add(name string, n int) {
	metrics.GetOrRegisterCounter(name, s.lazyRegistry()).Inc(int64(n))
}

// CountRefusal increments the counter of refusals for the given reason.
func (s *Set) CountRefusal(reason string) { s.Count("refused." + reason) }

// CountRetry increments the counter of retries for the given reason.
func (s *Set) CountRetry(reason string) { s.Count("retried." + reason) }

// Declare creates the named counters, so that they are listed with the value 0 before
// they have counted anything.
func (s *Set) Declare(names []string) {
	for _, name := range names {
		s.Add(name, 0)
	}
}

// Observe adds a duration to the named histogram, in whole milliseconds.
func (s *Set) Observe(name string, d time.Duration) {
	h := s.lazyRegistry().GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Milliseconds())
	}
}

// Gauge registers a metric whose value read returns each time that the metrics are
// served. It has no effect if the name is in use.
func (s *Set) Gauge(name string, read func() int64) {
	_ = s.lazyRegistry().Register(name, metrics.NewFunctionalGauge(read))
}

// Value returns the value of the named counter, and creates the counter if needed.
func (s *Set) Value(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.lazyRegistry()).Count()
}

// ServeHTTP writes all metrics as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.lazyRegistry(), w)
}

// TextHandler returns a handler that serves all metrics as lines "name value", sorted by
// name. Histograms are in milliseconds.
func (s *Set) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		for _, line := range s.textLines() {
			// Writing fails only if the client has disconnected, so there is nobody to
			// report the error to.
			_, _ = io.WriteString(w, line)
		}
	})
}

// textLines returns the text of each metric, sorted by name. The text of a histogram has
// several lines.
func (s *Set) textLines() []string {
	var lines []string
	s.lazyRegistry().Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, v.Value()))
		case metrics.Histogram:
			lines = append(lines, histogramText(name, v.Snapshot()))
		}
	})
	slices.Sort(lines)
	return lines
}

// histogramText returns the lines of a histogram: its count, three quantiles and its
// maximum.
func histogramText(name string, h metrics.Histogram) string {
	quantiles := h.Percentiles([]float64{0.5, 0.9, 0.99})
	return fmt.Sprintf("%[1]s.count %[2]d\n%[1]s.p50 %.0[3]f\n%[1]s.p90 %.0[4]f\n%[1]s.p99 %.0[5]f\n%[1]s.max %[6]d\n",
		name, h.Count(), quantiles[0], quantiles[1], quantiles[2], h.Max())
}

// lazyRegistry returns the registry of all metrics, and creates it at the first call.
func (s *Set) lazyRegistry() metrics.Registry {
	s.once.Do(func() { s.registry = metrics.NewRegistry() })
	return s.registry
}
