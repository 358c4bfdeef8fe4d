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
		Name:       "control",
		Doc:        "control-plane cost per instance, as slopes fitted to runs of real processes at increasing sizes",
		ByNameOnly: true,
		Run:        runControl,
	})
}

const (
	// controlWarmUp is the time for membership, slices and connections to reach a
	// steady state.
	controlWarmUp = 4 * time.Second
	// controlWindow is the length of the measurement. It spans several periods of
	// digests, renewals and head reads.
	controlWindow = 8 * time.Second
)

// controlCost is the cost of an instance during the measurement window.
type controlCost struct {
	cpuCores      float64 // CPU time per wall-clock time
	memoryMiB     float64
	platformBytes float64 // bytes/s
	targetBytes   float64 // bytes/s
	peerBytes     float64 // bytes/s sent and received
	tableWrites   float64 // calls/s to the table service, over all instances
	tableReads    float64
	completed     float64 // requests/s
}

// controlAxis is one dimension of the size of a cell.
type controlAxis struct {
	name    string // singular name of the counted unit
	values  []float64
	sizeFor func(x float64) controlSize
}

// controlAxes returns the axes; each varies one dimension and fixes the others.
func controlAxes() []controlAxis {
	base := controlSize{dataCentres: 1, instances: 1, targets: 40}
	return []controlAxis{
		{"target", []float64{10, 40, 120, 240}, func(x float64) controlSize {
			s := base
			s.targets = int(x)
			return s
		}},
		{"task", []float64{0, 1000, 3000, 6000}, func(x float64) controlSize {
			s := base
			s.services = int(x)
			return s
		}},
		{"start", []float64{0, 100, 300, 600}, func(x float64) controlSize {
			s := base
			s.startsPerSecond = int(x)
			return s
		}},
		{"peer", []float64{1, 3, 7, 13}, func(x float64) controlSize {
			s := base
			s.instances = int(x)
			return s
		}},
		{"dataCentre", []float64{1, 3, 6, 12}, func(x float64) controlSize {
			return controlSize{dataCentres: int(x), instances: 1, targets: 2}
		}},
		{"ruleChange", []float64{0, 1, 2, 4}, func(x float64) controlSize {
			s := base
			s.instances = 3
			s.ruleChangesPerSecond = int(x)
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
	if err := buildPrograms(bin); err != nil {
		return nil, err
	}
	var metrics []Metric
	for _, axis := range controlAxes() {
		costs := make([]controlCost, len(axis.values))
		for i, x := range axis.values {
			if costs[i], err = measureControl(bin, axis.sizeFor(x)); err != nil {
				return metrics, fmt.Errorf("%s %g: %w", axis.name, x, err)
			}
			metrics = append(metrics, sizeMetrics(axis.name, x, costs[i])...)
		}
		metrics = append(metrics, slopeMetrics(axis, costs)...)
	}
	return metrics, nil
}

// costComponent is one measured component of controlCost.
type costComponent struct {
	name, unit string
	value      func(controlCost) float64
}

var costComponents = []costComponent{
	{"cpu", "cores", func(c controlCost) float64 { return c.cpuCores }},
	{"memory", "MiB", func(c controlCost) float64 { return c.memoryMiB }},
	{"platform", "B/s", func(c controlCost) float64 { return c.platformBytes }},
	{"targets", "B/s", func(c controlCost) float64 { return c.targetBytes }},
	{"peers", "B/s", func(c controlCost) float64 { return c.peerBytes }},
	{"tableWrites", "1/s", func(c controlCost) float64 { return c.tableWrites }},
	{"tableReads", "1/s", func(c controlCost) float64 { return c.tableReads }},
	{"completed", "1/s", func(c controlCost) float64 { return c.completed }},
}

func sizeMetrics(axis string, x float64, c controlCost) []Metric {
	metrics := make([]Metric, 0, len(costComponents))
	for _, p := range costComponents {
		metrics = append(metrics, Metric{
			Name: fmt.Sprintf("%s at %g %ss", p.name, x, axis), Value: p.value(c), Unit: p.unit, Baseline: math.NaN(),
		})
	}
	return metrics
}

// slopeMetrics fits a line to each component of the cost. The metrics whose
// names end in "error" are the standard errors of the slopes.
func slopeMetrics(axis controlAxis, costs []controlCost) []Metric {
	metrics := make([]Metric, 0, 3*len(costComponents))
	for _, p := range costComponents {
		ys := make([]float64, len(costs))
		for i, c := range costs {
			ys[i] = p.value(c)
		}
		f := fitLine(axis.values, ys)
		metrics = append(
			metrics,
			Metric{Name: p.name + " per " + axis.name, Value: f.slope, Unit: p.unit, Baseline: math.NaN()},
			Metric{Name: p.name + " per " + axis.name + " error", Value: f.slopeError, Unit: p.unit, Baseline: math.NaN()},
			Metric{Name: p.name + " at no " + axis.name, Value: f.intercept, Unit: p.unit, Baseline: math.NaN()},
		)
	}
	return metrics
}

type lineFit struct{ slope, intercept, slopeError float64 }

// fitLine fits y = slope*x + intercept by ordinary least squares. The standard
// error of the slope is sqrt(SSE/(n-2)/Sxx).
func fitLine(xs, ys []float64) lineFit {
	n := float64(len(xs))
	var meanX, meanY float64
	for i := range xs {
		meanX += xs[i] / n
		meanY += ys[i] / n
	}
	var sxx, sxy float64
	for i := range xs {
		sxx += (xs[i] - meanX) * (xs[i] - meanX)
		sxy += (xs[i] - meanX) * (ys[i] - meanY)
	}
	f := lineFit{slope: sxy / sxx}
	f.intercept = meanY - f.slope*meanX
	var sse float64
	for i := range xs {
		e := ys[i] - f.slope*xs[i] - f.intercept
		sse += e * e
	}
	f.slopeError = math.Sqrt(sse / (n - 2) / sxx)
	return f
}

// tableStats holds the cumulative numbers of calls to the table service.
type tableStats struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

// controlSample is a reading of all counters at one time.
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

// measureControl starts a cell of the given size and returns the average cost of
// its instances.
func measureControl(bin string, size controlSize) (controlCost, error) {
	c, err := startControlCell(bin, size)
	if err != nil {
		return controlCost{}, err
	}
	defer c.close()
	var completed atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	if err := c.startServices(size.services); err != nil {
		return controlCost{}, err
	}
	wg.Go(func() { c.submitWork(size.startsPerSecond, &completed, stop) })
	wg.Go(func() { c.updateRules(size.ruleChangesPerSecond, stop) })
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

// costBetween returns the average cost of one instance between two samples. Bytes
// between peers count twice: one instance sends them and another receives them.
func costBetween(a, b controlSample, instances float64) controlCost {
	seconds := b.at.Sub(a.at).Seconds()
	rate := func(v int64) float64 { return float64(v) / seconds / instances }
	return controlCost{
		cpuCores:      (b.cpu - a.cpu).Seconds() / seconds / instances,
		memoryMiB:     b.memory / instances,
		platformBytes: rate(b.platform - a.platform),
		targetBytes:   rate(b.targets - a.targets),
		peerBytes:     2 * rate(b.peers-a.peers),
		tableWrites:   (b.table.Writes - a.table.Writes) / seconds,
		tableReads:    (b.table.Reads - a.table.Reads) / seconds,
		completed:     float64(b.completed-a.completed) / seconds,
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
	s.platform, s.targets, s.peers = c.platformProxy.bytes.Load(), c.targetProxy.bytes.Load(), c.peerProxy.bytes.Load()
	resp, err := c.client.Get("http://" + c.platform + "/table/stats")
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s.table)
}

// maxConcurrentSubmits bounds the concurrent submissions of startServices.
const maxConcurrentSubmits = 256

// startServices submits n services and waits until all of them have been accepted.
func (c *controlCell) startServices(n int) error {
	semaphore := make(chan struct{}, maxConcurrentSubmits)
	errs := make(chan error, n)
	for i := range n {
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore }()
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

// submitWork submits short tasks at a fixed rate until stop is closed.
func (c *controlCell) submitWork(perSecond int, completed *atomic.Int64, stop <-chan struct{}) {
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

// updateRules installs new versions of the rules, which differ only in a comment,
// at a fixed rate until stop is closed.
func (c *controlCell) updateRules(perSecond int, stop <-chan struct{}) {
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
		if c.do(http.MethodPut, url, []byte(body)) == nil {
			version++
		}
	}
}

// submit sends one request and waits up to waitMs for its outcome. It returns an
// error unless the instance responds with a 2xx status.
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
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("submit %s: status %d: %.200s", id, resp.StatusCode, respBody)
	}
	return nil
}
