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

// Bounds of a node for control work (design page, section 1).
const (
	targetMemory  = 64.0 // MB
	targetCore    = 3.3  // % of a core
	targetControl = 10.0 // KB/s
)

// settleTime lets the start's traffic end before the idle measurement.
const settleTime = 2 * time.Second

// loadPerNode is in calls per second.
const loadPerNode = 20

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name: "node", Usage: "measures memory, processor time and control bytes of nodes", Action: runNode, Flags: commonFlags(),
	}
}

// shape is one point of the measurement.
type shape struct {
	Services  int `json:"services"`
	Upstreams int `json:"upstreams"`
	Zones     int `json:"zones"`
	Unused    int `json:"unused-services"`
}

// dimension varies one number of the shape.
type dimension struct {
	Name   string
	Points []shape
	x      func(shape, Point) float64
}

// dimensions vary around 16 upstreams of 4 services in 2 zones.
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

// Point holds the figures of one shape, means over its nodes.
type Point struct {
	Shape      shape   `json:"shape"`
	DocumentKB float64 `json:"document-kb"`
	Idle       Use     `json:"idle"`
	Loaded     Use     `json:"loaded"`
	Error      string  `json:"error,omitempty"`
}

// Use is what a node uses.
type Use struct {
	// MemoryMB is the resident memory in 10^6 bytes.
	MemoryMB float64 `json:"memory-mb"`
	// CorePercent is processor time as a percentage of one core; under load it includes the calls.
	CorePercent float64 `json:"core-percent"`
	// ControlKB is control bytes in and out, in 10^3 bytes per second.
	ControlKB float64 `json:"control-kb"`
}

func runNode(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	end := time.Now().Add(cmd.Duration("bound"))
	h := newHeader(cmd.Uint64("seed"), 1)
	points := make(map[shape]Point)
	for _, d := range dimensions() {
		for _, s := range d.Points {
			if _, ok := points[s]; ok {
				continue
			}
			p, err := Point{Shape: s}, errors.New("not started: the time bound has passed")
			if ctx.Err() == nil && time.Now().Before(end) {
				p, err = point(ctx, cmd, s)
			}
			if err != nil {
				p = Point{Shape: s, Error: err.Error()}
			}
			points[s] = p
			_, _ = fmt.Fprintf(cmd.Root().Writer, "bench: node %+v: idle %+v loaded %+v %s\n", s, p.Idle, p.Loaded, p.Error)
		}
	}
	_, _ = fmt.Fprintln(cmd.Root().Writer, h.line())
	_, _ = fmt.Fprintln(cmd.Root().Writer, nodeTable(points))
	if err := writeNodes(cmd.String("out"), h, points); err != nil {
		return err
	}
	for _, p := range points {
		if p.Error != "" {
			return errors.New("bench node: some points were not measured")
		}
	}
	return nil
}

func writeNodes(dir string, h Header, points map[shape]Point) error {
	var list []Point
	for _, p := range points {
		list = append(list, p)
	}
	return writeJSON(dir, "node.json", struct {
		Header Header  `json:"header"`
		Points []Point `json:"points"`
	}{h, list})
}

// point measures one shape, idle and under load.
func point(ctx context.Context, cmd *cli.Command, s shape) (Point, error) {
	d := s.deployment()
	f, stop, err := open(ctx, cmd, d)
	if err != nil {
		return Point{}, err
	}
	defer stop()
	span := 5 * time.Second
	if cmd.Bool("quick") {
		span = 2 * time.Second
	}
	p := Point{Shape: s, DocumentKB: float64(len(d.Document())) / 1000}
	time.Sleep(settleTime)
	p.Idle, err = use(f, func() error { time.Sleep(span); return nil })
	if err != nil {
		return p, err
	}
	cfg := caller.Settings{
		Nodes: f.Ingress(), Rate: loadPerNode * float64(s.Upstreams), Time: span, Seed: cmd.Uint64("seed"), Tries: 1, Timeout: time.Second,
	}
	for _, svc := range d.Services {
		cfg.Mix = append(cfg.Mix, caller.Mix{Target: svc.Name + "/look-up", Share: 1})
	}
	p.Loaded, err = use(f, func() error {
		_, err := (&caller.Caller{Settings: cfg}).Run(ctx)
		return err
	})
	return p, err
}

// use returns the mean use of the nodes while fn runs.
func use(f *fleet.Fleet, fn func() error) (Use, error) {
	begin := time.Now()
	_, core, control, err := totals(f)
	if err != nil {
		return Use{}, err
	}
	if err := fn(); err != nil {
		return Use{}, err
	}
	memory, core2, control2, err := totals(f)
	span, n := time.Since(begin).Seconds(), float64(len(f.Members))
	return Use{MemoryMB: memory / n / 1e6, CorePercent: 100 * (core2 - core) / span / n, ControlKB: (control2 - control) / span / n / 1000}, err
}

// totals sums over all nodes: resident bytes, processor seconds and control bytes.
func totals(f *fleet.Fleet) (memory, core, control float64, err error) {
	for _, m := range f.Members {
		rss, seconds, err := process(m.Node.ID())
		if err != nil {
			return 0, 0, 0, err
		}
		var metrics map[string]map[string]float64
		if err := f.Operators(m, http.MethodGet, "/metrics", &metrics); err != nil {
			return 0, 0, 0, err
		}
		memory += rss
		core += seconds
		control += metrics["control-bytes-in"]["value"] + metrics["control-bytes-out"]["value"]
	}
	return memory, core, control, nil
}

// ticksPerSecond is the unit of processor times in /proc on Linux.
const ticksPerSecond = 100

// process reads the resident bytes and the processor seconds of a process.
func process(id int) (rss, seconds float64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read process")
	}
	// The name in parentheses may hold spaces; the fields after it begin with the third one.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0, errors.Errorf("process %d: short stat line", id)
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return pages * float64(os.Getpagesize()), (user + system) / ticksPerSecond, nil
}

// nodeTable shows each point and the slope of each figure in each dimension.
func nodeTable(points map[shape]Point) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"Dimension", "Value", "Idle MB", "Idle core %", "Idle KB/s", "Loaded MB", "Loaded core %", "Loaded KB/s"})
	t.AppendRow(table.Row{"target", "", targetMemory, targetCore, targetControl, targetMemory, "", targetControl})
	for _, d := range dimensions() {
		var x []float64
		y := make([][]float64, 6)
		for _, s := range d.Points {
			p := points[s]
			if p.Error != "" {
				t.AppendRow(table.Row{d.Name, fmt.Sprintf("%+v", s), p.Error})
				continue
			}
			x = append(x, d.x(s, p))
			row := table.Row{d.Name, fmt.Sprintf("%.0f", d.x(s, p))}
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
