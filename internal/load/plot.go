package load

import (
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 30 * vg.Centimeter
	plotHeight = 24 * vg.Centimeter
	barsWidth  = 14 * vg.Centimeter
	padding    = 3 * vg.Millimeter
	// percentAxisMax is the upper end of a percent axis. It leaves room for the
	// legend above 100.
	percentAxisMax = 130
)

// WritePlot writes four plots as one SVG file: time to first token by prompt
// length, time to first token of short prompts with and without long ones,
// fraction of requests in time by second, and the same at the peak by team.
func (r *Report) WritePlot(file string) error {
	plots := make([][]*plot.Plot, 2)
	for i, row := range [][]func() (*plot.Plot, error){
		{r.plotFirstToken, r.plotSlowdown}, {r.plotSeconds, r.plotTeams},
	} {
		for _, draw := range row {
			chart, err := draw()
			if err != nil {
				return fmt.Errorf("plot: %w", err)
			}
			plots[i] = append(plots[i], chart)
		}
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 2, PadX: padding, PadY: padding, PadTop: padding, PadBottom: padding, PadLeft: padding, PadRight: padding}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		for j, tile := range row {
			plots[i][j].Draw(tile)
		}
	}
	return writeCanvas(file, canvas)
}

func writeCanvas(file string, canvas *vgsvg.Canvas) error {
	out, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if _, err := canvas.WriteTo(out); err != nil {
		_ = out.Close()
		return fmt.Errorf("plot: %w", err)
	}
	if err := out.Close(); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Y.Min = 0
	p.Title.TextStyle.Font.Size = font.Length(12)
	return p
}

// label returns the name of a run for legends.
func (r *RunReport) label() string {
	if r.Round > 1 {
		return fmt.Sprintf("%s #%d", r.Policy, r.Round)
	}
	return r.Policy
}

func (r *Report) plotFirstToken() (*plot.Plot, error) {
	p := newPlot("Time to first token by prompt length", "", "p95, ms")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var names []string
	for _, bucket := range lengthBuckets {
		names = append(names, bucket.label)
	}
	p.NominalX(names...)
	p.Y.Min = 1
	p.Legend.Left = true
	for i := range r.Runs {
		var points plotter.XYs
		for x, row := range r.Runs[i].WithLong.Lengths {
			if row.Count > 0 {
				points = append(points, plotter.XY{X: float64(x), Y: max(1, row.P95)})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, glyphs, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		line.Color, glyphs.Color, glyphs.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, glyphs)
		p.Legend.Add(r.Runs[i].label(), line, glyphs)
	}
	return p, nil
}

// addBars adds a bar chart for each run, side by side.
func (r *Report) addBars(p *plot.Plot, groups int, values func(run *RunReport) plotter.Values) error {
	width := barsWidth / vg.Length(max(1, groups*(len(r.Runs)+1)))
	for i := range r.Runs {
		chart, err := plotter.NewBarChart(values(&r.Runs[i]), width)
		if err != nil {
			return err
		}
		chart.Color = plotutil.Color(i)
		chart.LineStyle.Width = 0
		chart.Offset = width * vg.Length(float64(i)-float64(len(r.Runs)-1)/2)
		p.Add(chart)
		p.Legend.Add(r.Runs[i].label(), chart)
	}
	return nil
}

func (r *Report) plotSlowdown() (*plot.Plot, error) {
	p := newPlot("Short prompts beside long ones", "", "p95 time to first token, ms")
	p.NominalX("without long", "long present")
	p.Legend.Left = true
	err := r.addBars(p, 2, func(run *RunReport) plotter.Values {
		without := 0.0
		if run.WithoutLong != nil {
			without = run.WithoutLong.Short.P95
		}
		return plotter.Values{without, run.WithLong.Short.P95}
	})
	return p, err
}

func (r *Report) plotSeconds() (*plot.Plot, error) {
	p := newPlot("Service through the run", "s", "share in time, %; grey: offered requests a second, % of the most")
	p.Y.Max = percentAxisMax
	for i := range r.Runs {
		seconds := r.Runs[i].WithLong.Seconds
		if i == 0 {
			if err := addOfferedLine(p, seconds); err != nil {
				return nil, err
			}
		}
		points := make(plotter.XYs, len(seconds))
		for x, second := range seconds {
			points[x] = plotter.XY{X: float64(second.Second), Y: 100 * second.RequestFraction()}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(r.Runs[i].label(), line)
	}
	return p, nil
}

// addOfferedLine adds the offered requests of each second as a dashed grey line,
// in percent of the maximum.
func addOfferedLine(p *plot.Plot, seconds []SecondRow) error {
	var maxOffered int64 = 1
	for _, second := range seconds {
		maxOffered = max(maxOffered, second.Offered)
	}
	points := make(plotter.XYs, len(seconds))
	for x, second := range seconds {
		points[x] = plotter.XY{X: float64(second.Second), Y: 100 * ratio(second.Offered, maxOffered)}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = color.Gray{Y: 128}
	line.Dashes = []vg.Length{vg.Points(3), vg.Points(2)}
	p.Add(line)
	return nil
}

func (r *Report) plotTeams() (*plot.Plot, error) {
	p := newPlot("Service at the crest by team", "", "share of requests in time, %")
	p.Y.Max = percentAxisMax
	var names []string
	if len(r.Runs) > 0 {
		for _, team := range r.Runs[0].WithLong.Teams {
			names = append(names, team.Team)
		}
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = draw.XRight
	err := r.addBars(p, len(names), func(run *RunReport) plotter.Values {
		values := make(plotter.Values, 0, len(names))
		for _, team := range run.WithLong.Teams {
			values = append(values, 100*team.Peak.RequestFraction())
		}
		return values
	})
	return p, err
}
