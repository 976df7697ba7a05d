package measurer

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// offsetErrorBars draws error bars at an offset from the center of their group, so
// that they lie on the bars they belong to.
type offsetErrorBars struct {
	bars   *plotter.YErrorBars
	offset vg.Length
}

// Plot draws the error bars.
func (s *offsetErrorBars) Plot(c draw.Canvas, p *plot.Plot) {
	c.Min.X += s.offset
	c.Max.X += s.offset
	s.bars.Plot(c, p)
}

// DataRange returns the range of the error bars.
func (s *offsetErrorBars) DataRange() (xmin, xmax, ymin, ymax float64) { return s.bars.DataRange() }
