package measurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	Register(Scenario{
		Name:  "control",
		Doc:   "What control costs an instance: slopes from real processes at growing sizes.",
		Extra: true,
		Run:   runControl,
	})
}

const (
	// controlWarmUp lets membership, slices and connections settle.
	controlWarmUp = 4 * time.Second
	// controlWindow is how long the cost is measured. Digests, renewals and head
	// reads repeat within it.
	controlWindow = 8 * time.Second
)

// controlCost is what an instance spent in the window.
type controlCost struct {
	cores     float64 // processor time over wall time
	memory    float64 // MiB
	platform  float64 // bytes/s
	targets   float64 // bytes/s
	peers     float64 // bytes/s sent and received
	writes    float64 // of the table service, of all instances, per second
	reads     float64
	completed float64 // requests per second
}

// controlAxis is one dimension of size.
type controlAxis struct {
	name  string // of the unit that is counted
	sizes []float64
	size  func(x float64) controlSize
}

// controlAxes grow one dimension each.
func controlAxes() []controlAxis {
	one := controlSize{dataCentres: 1, instances: 1, targets: 40}
	return []controlAxis{
		{"target", []float64{10, 40, 120, 240}, func(x float64) controlSize {
			s := one
			s.targets = int(x)
			return s
		}},
		{"task", []float64{0, 1000, 3000, 6000}, func(x float64) controlSize {
			s := one
			s.running = int(x)
			return s
		}},
		{"start", []float64{0, 100, 300, 600}, func(x float64) controlSize {
			s := one
			s.starts = int(x)
			return s
		}},
		{"peer", []float64{1, 3, 7, 13}, func(x float64) controlSize {
			s := one
			s.instances = int(x)
			return s
		}},
		{"dataCentre", []float64{1, 3, 6, 12}, func(x float64) controlSize {
			return controlSize{dataCentres: int(x), instances: 1, targets: 2}
		}},
		{"ruleChange", []float64{0, 1, 2, 4}, func(x float64) controlSize {
			s := one
			s.instances = 3
			s.changes = int(x)
			return s
		}},
	}
}

func runControl(Env) ([]Metric, error) {
	bin, err := os.MkdirTemp("", "masticlead-bin-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(bin) }()
	if err := buildControl(bin); err != nil {
		return nil, err
	}
	var metrics []Metric
	for _, axis := range controlAxes() {
		costs := make([]controlCost, len(axis.sizes))
		for i, x := range axis.sizes {
			if costs[i], err = measureControl(bin, axis.size(x)); err != nil {
				return metrics, fmt.Errorf("%s %g: %w", axis.name, x, err)
			}
			metrics = append(metrics, sizeMetrics(axis.name, x, costs[i])...)
		}
		metrics = append(metrics, slopes(axis, costs)...)
	}
	return metrics, nil
}

// part is one component of the cost.
type controlPart struct {
	name, unit string
	value      func(controlCost) float64
}

var controlParts = []controlPart{
	{"cpu", "cores", func(c controlCost) float64 { return c.cores }},
	{"memory", "MiB", func(c controlCost) float64 { return c.memory }},
	{"platform", "B/s", func(c controlCost) float64 { return c.platform }},
	{"targets", "B/s", func(c controlCost) float64 { return c.targets }},
	{"peers", "B/s", func(c controlCost) float64 { return c.peers }},
	{"tableWrites", "1/s", func(c controlCost) float64 { return c.writes }},
	{"tableReads", "1/s", func(c controlCost) float64 { return c.reads }},
	{"completed", "1/s", func(c controlCost) float64 { return c.completed }},
}

func sizeMetrics(axis string, x float64, c controlCost) []Metric {
	metrics := make([]Metric, 0, len(controlParts))
	for _, p := range controlParts {
		metrics = append(metrics, Metric{
			Name: fmt.Sprintf("%s at %g %ss", p.name, x, axis), Value: p.value(c), Unit: p.unit, Baseline: math.NaN(),
		})
	}
	return metrics
}

// slopes fits a line to each part of the cost. The error is the standard error
// of the slope.
func slopes(axis controlAxis, costs []controlCost) []Metric {
	metrics := make([]Metric, 0, 3*len(controlParts))
	for _, p := range controlParts {
		ys := make([]float64, len(costs))
		for i, c := range costs {
			ys[i] = p.value(c)
		}
		f := fitLine(axis.sizes, ys)
		metrics = append(
			metrics,
			Metric{Name: p.name + " per " + axis.name, Value: f.slope, Unit: p.unit, Baseline: math.NaN()},
			Metric{Name: p.name + " per " + axis.name + " error", Value: f.slopeError, Unit: p.unit, Baseline: math.NaN()},
			Metric{Name: p.name + " at no " + axis.name, Value: f.intercept, Unit: p.unit, Baseline: math.NaN()},
		)
	}
	return metrics
}

// lineFit is a line fitted by least squares.
type lineFit struct{ slope, intercept, slopeError float64 }

// fitLine fits y = slope*x + intercept by ordinary least squares. The standard
// error of the slope is sqrt(SSE/(n-2)/Sxx).
func fitLine(xs, ys []float64) lineFit {
	n := float64(len(xs))
	var mx, my float64
	for i := range xs {
		mx += xs[i] / n
		my += ys[i] / n
	}
	var sxx, sxy float64
	for i := range xs {
		sxx += (xs[i] - mx) * (xs[i] - mx)
		sxy += (xs[i] - mx) * (ys[i] - my)
	}
	f := lineFit{slope: sxy / sxx}
	f.intercept = my - f.slope*mx
	var sse float64
	for i := range xs {
		e := ys[i] - f.slope*xs[i] - f.intercept
		sse += e * e
	}
	f.slopeError = math.Sqrt(sse / (n - 2) / sxx)
	return f
}

// tableStats counts the calls of the table service so far.
type tableStats struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

// sample is a reading of all counters.
type controlSample struct {
	at        time.Time
	cpu       time.Duration
	memory    float64
	platform  int64
	targets   int64
	peers     int64
	completed int64
	table     tableStats
}

// measureControl starts a cell of the given size and returns what its instances
// spend on average.
func measureControl(bin string, size controlSize) (controlCost, error) {
	c, err := startControl(bin, size)
	if err != nil {
		return controlCost{}, err
	}
	defer c.close()
	var completed atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	if err := c.startServices(size.running); err != nil {
		return controlCost{}, err
	}
	wg.Go(func() { c.startWork(size.starts, &completed, stop) })
	wg.Go(func() { c.changeRules(size.changes, stop) })
	time.Sleep(controlWarmUp)
	first, err := c.sample(&completed)
	if err != nil {
		return controlCost{}, err
	}
	time.Sleep(controlWindow)
	last, err := c.sample(&completed)
	if err != nil {
		return controlCost{}, err
	}
	return costBetween(first, last, float64(len(c.instances))), nil
}

// costBetween returns the cost of one instance on average. Each byte between
// peers is sent by one instance and received by another.
func costBetween(a, b controlSample, instances float64) controlCost {
	seconds := b.at.Sub(a.at).Seconds()
	per := func(v int64) float64 { return float64(v) / seconds / instances }
	return controlCost{
		cores:     (b.cpu - a.cpu).Seconds() / seconds / instances,
		memory:    b.memory / instances,
		platform:  per(b.platform - a.platform),
		targets:   per(b.targets - a.targets),
		peers:     2 * per(b.peers-a.peers),
		writes:    (b.table.Writes - a.table.Writes) / seconds,
		reads:     (b.table.Reads - a.table.Reads) / seconds,
		completed: float64(b.completed-a.completed) / seconds,
	}
}

func (c *controlCell) sample(completed *atomic.Int64) (controlSample, error) {
	s := controlSample{at: time.Now(), completed: completed.Load()}
	for _, in := range c.instances {
		cpu, err := cpuTime(in.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		memory, err := residentMemory(in.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.cpu += cpu
		s.memory += memory
	}
	s.platform, s.targets, s.peers = c.toPlatform.bytes.Load(), c.toTargets.bytes.Load(), c.toPeers.bytes.Load()
	resp, err := c.client.Get("http://" + c.platform + "/table/stats")
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s.table)
}

// submitLimit bounds the submissions in progress.
const submitLimit = 256

// startServices submits services and waits until all of them have been accepted.
func (c *controlCell) startServices(n int) error {
	limit := make(chan struct{}, submitLimit)
	errs := make(chan error, n)
	for i := range n {
		limit <- struct{}{}
		go func() {
			defer func() { <-limit }()
			errs <- c.submit(i%len(c.instances), "server", fmt.Sprintf("s%d", i), 3_600_000, 0)
		}()
	}
	for range n {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// startWork submits short work at a fixed rate until stop is closed.
func (c *controlCell) startWork(perSecond int, completed *atomic.Int64, stop <-chan struct{}) {
	if perSecond == 0 {
		return
	}
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		wg.Go(func() {
			if c.submit(i%len(c.instances), "work", fmt.Sprintf("w%d", i), 100, 10_000) == nil {
				completed.Add(1)
			}
		})
	}
}

// changeRules applies the rules again and again with a changed comment.
func (c *controlCell) changeRules(perSecond int, stop <-chan struct{}) {
	if perSecond == 0 {
		return
	}
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for version := 1; ; {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		body := controlRules + fmt.Sprintf("# change %d\n", version)
		url := fmt.Sprintf("%s/v1/rules?expectedVersion=%d&author=bench", c.instances[0].url, version)
		if c.raw(http.MethodPut, url, []byte(body)) == nil {
			version++
		}
	}
}

// submit sends one request and waits up to waitMs for its outcome. It fails
// unless the request is accepted or completed.
func (c *controlCell) submit(instance int, kind, id string, runMs, waitMs int) error {
	body, err := json.Marshal(map[string]any{
		"id": id, "caller": "caller-" + id[len(id)-1:], "kind": kind, "payload": map[string]int{"runMs": runMs},
	})
	if err != nil {
		return err
	}
	url := fmt.Sprintf("%s/v1/requests?waitMs=%d", c.instances[instance].url, waitMs)
	resp, err := c.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("submit %s: status %d: %.200s", id, resp.StatusCode, answer)
	}
	return nil
}
