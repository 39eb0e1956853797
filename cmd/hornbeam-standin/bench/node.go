package bench

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/fleet"
	"hornbeamcroft/cmd/hornbeam-standin/scorer"
)

// Resources that a node may use for control work (docs/design.md, section 1).
const (
	targetMemoryMB    = 64.0 // 10^6 bytes
	targetCorePercent = 3.3  // % of one core
	targetControlKB   = 10.0 // 10^3 bytes per second
)

// settleDelay separates the start of a deployment from the idle measurement, so that the control traffic of the start has ended.
const settleDelay = 2 * time.Second

// ratePerNode is the load of the loaded measurement in calls per second and node.
const ratePerNode = 20

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name: "node", Usage: "measure memory, processor time and control traffic of nodes", Action: runNode, Flags: commonFlags(),
	}
}

// shape is the size of one measured deployment.
type shape struct {
	Services  int `json:"services"`
	Upstreams int `json:"upstreams"`
	Zones     int `json:"zones"`
	// Unused is the number of services without upstreams that lengthen the document.
	Unused int `json:"unused-services"`
}

// dimension is a series of shapes that differ in one number, which xValue returns.
type dimension struct {
	Name   string
	Points []shape
	xValue func(shape, Point) float64
}

// dimensions returns series of shapes around a base of 16 upstreams of 4 services in 2 zones.
func dimensions() []dimension {
	return []dimension{
		{
			"upstreams",
			[]shape{{4, 4, 2, 0}, {4, 8, 2, 0}, {4, 16, 2, 0}, {4, 32, 2, 0}},
			func(s shape, _ Point) float64 { return float64(s.Upstreams) },
		},
		{
			"services",
			[]shape{{1, 16, 2, 0}, {2, 16, 2, 0}, {4, 16, 2, 0}, {8, 16, 2, 0}},
			func(s shape, _ Point) float64 { return float64(s.Services) },
		},
		{
			"zones",
			[]shape{{4, 16, 1, 0}, {4, 16, 2, 0}, {4, 16, 4, 0}, {4, 16, 8, 0}},
			func(s shape, _ Point) float64 { return float64(s.Zones) },
		},
		{
			"document KB",
			[]shape{{4, 16, 2, 0}, {4, 16, 2, 50}, {4, 16, 2, 100}, {4, 16, 2, 250}},
			func(_ shape, p Point) float64 { return p.DocumentKB },
		},
	}
}

// deployment returns a deployment of the shape whose upstreams are spread evenly over services and zones.
func (s shape) deployment() fleet.Deployment {
	d := fleet.Deployment{Name: "node", UnusedServices: s.Unused, Policy: fleet.PolicyFull}
	for n := range s.Zones {
		d.Zones = append(d.Zones, fmt.Sprintf("zone-%d", n+1))
	}
	for n := range s.Services {
		d.Services = append(d.Services, fleet.Service{
			Name: fmt.Sprintf("service-%d", n+1), Count: s.Upstreams / s.Services, Slots: 50, Connections: 200,
			Types: []fleet.Type{{Name: "look-up", Importance: "low", Idempotent: true, Timeout: time.Second, ServiceTime: time.Millisecond}},
		})
	}
	return d
}

// Point holds the figures of one shape, as means over its nodes.
type Point struct {
	Shape      shape         `json:"shape"`
	DocumentKB float64       `json:"document-kb"`
	Idle       ResourceUsage `json:"idle"`
	Loaded     ResourceUsage `json:"loaded"`
	Error      string        `json:"error,omitempty"`
}

// ResourceUsage is the mean resource usage of a node over a measurement.
type ResourceUsage struct {
	// MemoryMB is the resident memory in 10^6 bytes.
	MemoryMB float64 `json:"memory-mb"`
	// CorePercent is the processor time as a percentage of one core. Under load it includes the work for the calls.
	CorePercent float64 `json:"core-percent"`
	// ControlKB is the control traffic, received and sent, in 10^3 bytes per second.
	ControlKB float64 `json:"control-kb"`
}

func runNode(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	deadline := time.Now().Add(cmd.Duration("bound"))
	h := newHeader(cmd.Uint64("seed"), 1)
	points := make(map[shape]Point)
	for _, d := range dimensions() {
		for _, s := range d.Points {
			if _, ok := points[s]; ok {
				continue
			}
			p, err := Point{Shape: s}, errors.New("not started: the time bound has passed")
			if ctx.Err() == nil && time.Now().Before(deadline) {
				p, err = measureShape(ctx, cmd, s)
			}
			if err != nil {
				p = Point{Shape: s, Error: err.Error()}
			}
			points[s] = p
			_, _ = fmt.Fprintf(cmd.Root().Writer, "bench: node %+v: idle %+v loaded %+v %s\n", s, p.Idle, p.Loaded, p.Error)
		}
	}
	_, _ = fmt.Fprintln(cmd.Root().Writer, h.summary())
	_, _ = fmt.Fprintln(cmd.Root().Writer, nodeTable(points))
	if err := writePoints(cmd.String("out"), h, points); err != nil {
		return err
	}
	for _, p := range points {
		if p.Error != "" {
			return errors.New("bench node: some points were not measured")
		}
	}
	return nil
}

// writePoints writes the points to node.json, in no particular order.
func writePoints(dir string, h Header, points map[shape]Point) error {
	var list []Point
	for _, p := range points {
		list = append(list, p)
	}
	return writeJSON(dir, "node.json", struct {
		Header Header  `json:"header"`
		Points []Point `json:"points"`
	}{h, list})
}

// measureShape starts a deployment of the shape and measures its nodes without calls and under load.
func measureShape(ctx context.Context, cmd *cli.Command, s shape) (Point, error) {
	d := s.deployment()
	f, stop, err := openFleet(ctx, cmd, d)
	if err != nil {
		return Point{}, err
	}
	defer stop()
	duration := 5 * time.Second
	if cmd.Bool("quick") {
		duration = 2 * time.Second
	}
	p := Point{Shape: s, DocumentKB: float64(len(d.Document())) / 1000}
	time.Sleep(settleDelay)
	p.Idle, err = measureUsage(f, func() error { time.Sleep(duration); return nil })
	if err != nil {
		return p, err
	}
	cfg := caller.Settings{
		Nodes: f.NodeAddresses(), Rate: ratePerNode * float64(s.Upstreams), Length: duration, Seed: cmd.Uint64("seed"), MaxSends: 1, Timeout: time.Second,
	}
	for _, svc := range d.Services {
		cfg.Mix = append(cfg.Mix, caller.Mix{Target: svc.Name + "/look-up", Share: 1})
	}
	p.Loaded, err = measureUsage(f, func() error {
		_, err := (&caller.Caller{Settings: cfg}).Run(ctx)
		return err
	})
	return p, err
}

// measureUsage returns the mean usage of the nodes while fn runs. Memory is read once, after fn has returned.
func measureUsage(f *fleet.Fleet, fn func() error) (ResourceUsage, error) {
	start := time.Now()
	_, startCore, startControl, err := sumUsage(f)
	if err != nil {
		return ResourceUsage{}, err
	}
	if err := fn(); err != nil {
		return ResourceUsage{}, err
	}
	memory, endCore, endControl, err := sumUsage(f)
	elapsed, n := time.Since(start).Seconds(), float64(len(f.Members))
	return ResourceUsage{
		MemoryMB: memory / n / 1e6, CorePercent: 100 * (endCore - startCore) / elapsed / n,
		ControlKB: (endControl - startControl) / elapsed / n / 1000,
	}, err
}

// sumUsage returns sums over all nodes: resident bytes, and the processor seconds and control bytes since the nodes' start.
func sumUsage(f *fleet.Fleet) (memory, core, control float64, err error) {
	for _, m := range f.Members {
		rss, seconds, err := readProcess(m.NodeProcess.PID())
		if err != nil {
			return 0, 0, 0, err
		}
		var metrics map[string]map[string]float64
		if err := f.RequestOperators(m, http.MethodGet, "/metrics", &metrics); err != nil {
			return 0, 0, 0, err
		}
		memory += rss
		core += seconds
		control += metrics["control-bytes-in"]["value"] + metrics["control-bytes-out"]["value"]
	}
	return memory, core, control, nil
}

// ticksPerSecond is the number of clock ticks per second in which Linux gives processor times in /proc.
const ticksPerSecond = 100

// readProcess returns the resident bytes and the processor seconds of a process.
func readProcess(pid int) (rss, seconds float64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read process statistics")
	}
	// The second field is the name in parentheses, which may contain spaces; fields[0] is the third field of the line.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0, errors.Errorf("process %d: stat line has fewer than 22 fields after the process name", pid)
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return pages * float64(os.Getpagesize()), (user + system) / ticksPerSecond, nil
}

// nodeTable renders each point and, for each dimension, the slope of each figure: its increase per unit of the dimension.
func nodeTable(points map[shape]Point) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"Dimension", "Value", "Idle MB", "Idle core %", "Idle KB/s", "Loaded MB", "Loaded core %", "Loaded KB/s"})
	t.AppendRow(table.Row{"target", "", targetMemoryMB, targetCorePercent, targetControlKB, targetMemoryMB, "", targetControlKB})
	for _, d := range dimensions() {
		var x []float64
		y := make([][]float64, 6)
		for _, s := range d.Points {
			p := points[s]
			if p.Error != "" {
				t.AppendRow(table.Row{d.Name, fmt.Sprintf("%+v", s), p.Error})
				continue
			}
			x = append(x, d.xValue(s, p))
			row := table.Row{d.Name, fmt.Sprintf("%.0f", d.xValue(s, p))}
			for i, v := range []float64{
				p.Idle.MemoryMB, p.Idle.CorePercent, p.Idle.ControlKB, p.Loaded.MemoryMB, p.Loaded.CorePercent, p.Loaded.ControlKB,
			} {
				y[i] = append(y[i], v)
				row = append(row, fmt.Sprintf("%.2f", v))
			}
			t.AppendRow(row)
		}
		row := table.Row{d.Name, "slope"}
		for i := range y {
			row = append(row, fmt.Sprintf("%.4f", scorer.Slope(x, y[i])))
		}
		t.AppendRow(row)
		t.AppendSeparator()
	}
	return t.Render()
}
