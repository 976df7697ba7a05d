package measurer

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// shifted draws error bars beside the middle of their group, over their own bars.
type shifted struct {
	bars   *plotter.YErrorBars
	offset vg.Length
}

// Plot draws the error bars.
func (s *shifted) Plot(c draw.Canvas, p *plot.Plot) {
	c.Min.X += s.offset
	c.Max.X += s.offset
	s.bars.Plot(c, p)
}

// DataRange returns the range of the error bars.
func (s *shifted) DataRange() (xmin, xmax, ymin, ymax float64) { return s.bars.DataRange() }
