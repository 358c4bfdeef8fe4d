package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/spf13/cobra"
)

// tenantRow is what the instances report about a tenant. Resources are in thousandths
// of a core.
type tenantRow struct {
	Tenant     string             `json:"tenant"`
	RunningCPU float64            `json:"runningCpu"`
	CapCPU     float64            `json:"capCpu"` // 0 if there is no cap
	Share      float64            `json:"share"`
	Waiting    float64            `json:"waiting"`
	Rate       float64            `json:"rate"` // jobs per second to which the tenant is entitled
	Limited    bool               `json:"limited"`
	Accepted   float64            `json:"accepted"`
	Refused    map[string]float64 `json:"refused"` // by reason
}

// newTenantsCmd returns the command that prints the tenants and their usage.
func newTenantsCmd(o *options) *cobra.Command {
	var urls []string
	cmd := &cobra.Command{
		Use:   "tenants --metrics URL...",
		Short: "List the tenants of a cell and what they have running, from the metrics of instances",
		Long: "List the tenants of a cell: CPU that they have running and their cap (thousandths of a core), share of the cell,\n" +
			"waiting jobs, jobs per second to which they are entitled, whether their rate is limited now, and the jobs\n" +
			"accepted and refused since the instances started.\n\n" +
			"Accepted and refused jobs are summed over the given instances. The other columns are those of the leader, and\n" +
			"are 0 if it is not among them. The 50 tenants with the highest weights have rows of their own; \"other\" is\n" +
			"the sum of the others.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			scrapes, failed := scrapeAll(cmd.Context(), urls)
			rows := tenantRows(scrapes)
			var err error
			if o.json {
				err = printJSON(cmd.OutOrStdout(), rows)
			} else {
				printTenants(cmd.OutOrStdout(), rows)
			}
			return errors.Join(err, failed)
		},
	}
	cmd.Flags().StringSliceVar(&urls, "metrics", nil, "URLs of the metrics of instances; the path /metrics may be left out")
	cmd.Flags().BoolVar(&o.json, "json", false, "print the rows as JSON")
	if err := cmd.MarkFlagRequired("metrics"); err != nil {
		panic(err)
	}
	return cmd
}

// scrape holds the metrics of an instance by name.
type scrape map[string]*dto.MetricFamily

// scrapeAll reads the metrics at all URLs. It returns those that it could read, and an
// error that names the others.
func scrapeAll(ctx context.Context, urls []string) ([]scrape, error) {
	var out []scrape
	var failed []error
	for _, text := range urls {
		s, err := readMetrics(ctx, text)
		if err != nil {
			failed = append(failed, fmt.Errorf("tenants: read metrics of %s: %w", text, err))
			continue
		}
		out = append(out, s)
	}
	return out, errors.Join(failed...)
}

func readMetrics(ctx context.Context, text string) (scrape, error) {
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	u, err := url.Parse(text)
	if err != nil {
		return nil, err
	}
	if u.Path == "" || u.Path == "/" {
		u.Path = "/metrics"
	}
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", res.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(res.Body, maxResponseBytes))
	return families, err
}

// label returns the value of a label of a sample.
func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// epoch returns the epoch in which the instance last reported the tenants as the leader,
// or 0 if it never did.
func (s scrape) epoch() float64 {
	for _, m := range s["masticlead_level"].GetMetric() {
		if label(m, "kind") == "tenantsEpoch" {
			return m.GetGauge().GetValue()
		}
	}
	return 0
}

// tenantRows merges the metrics of several instances. Only the gauges of the latest
// leader count, since former leaders keep their last values.
func tenantRows(scrapes []scrape) []tenantRow {
	rows := make(map[string]*tenantRow)
	row := func(m *dto.Metric) *tenantRow {
		name := label(m, "tenant")
		if rows[name] == nil {
			rows[name] = &tenantRow{Tenant: name, Refused: make(map[string]float64)}
		}
		return rows[name]
	}
	var leader scrape
	for _, s := range scrapes {
		if s.epoch() > leader.epoch() {
			leader = s
		}
		for _, m := range s["masticlead_tenant_requests_total"].GetMetric() {
			if result := label(m, "result"); result == "accepted" {
				row(m).Accepted += m.GetCounter().GetValue()
			} else {
				row(m).Refused[result] += m.GetCounter().GetValue()
			}
		}
	}
	for _, m := range leader["masticlead_tenant_level"].GetMetric() {
		row(m).set(label(m, "kind"), m.GetGauge().GetValue())
	}
	out := make([]tenantRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b tenantRow) int {
		return cmp.Or(cmp.Compare(b.RunningCPU, a.RunningCPU), cmp.Compare(a.Tenant, b.Tenant))
	})
	return out
}

// set sets the column that corresponds to a kind of gauge.
func (r *tenantRow) set(kind string, v float64) {
	switch kind {
	case "runningCpu":
		r.RunningCPU = v
	case "capCpu":
		r.CapCPU = v
	case "share":
		r.Share = v
	case "waitingJobs":
		r.Waiting = v
	case "rate":
		r.Rate = v
	case "limited":
		r.Limited = v > 0
	}
}

func printTenants(out io.Writer, rows []tenantRow) {
	tablePrinter("TENANT\tRUNNING CPU\tCAP CPU\tSHARE\tWAITING\tRATE/S\tLIMITED\tACCEPTED\tREFUSED", func(rows []tenantRow) (table [][]any) {
		for i := range rows {
			r := &rows[i]
			limit := "-"
			if r.CapCPU > 0 {
				limit = fmt.Sprintf("%.0f", r.CapCPU)
			}
			table = append(table, []any{
				r.Tenant, fmt.Sprintf("%.0f", r.RunningCPU), limit, fmt.Sprintf("%.3f", r.Share), fmt.Sprintf("%.0f", r.Waiting),
				fmt.Sprintf("%g", r.Rate), r.Limited, fmt.Sprintf("%.0f", r.Accepted), formatRefused(r.Refused),
			})
		}
		return table
	})(out, rows)
}

// formatRefused formats the refusals by reason, or returns "-" if there are none.
func formatRefused(refused map[string]float64) string {
	if len(refused) == 0 {
		return "-"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(refused)) {
		parts = append(parts, fmt.Sprintf("%s=%.0f", reason, refused[reason]))
	}
	return strings.Join(parts, ",")
}
