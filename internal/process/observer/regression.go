package observer

// regression fits the duration of a decode step as a linear function of the number of running
// sequences. Older samples decay exponentially.
type regression struct {
	weight, x, y, xx, xy float64
}

const (
	regressionTrust  = 8.0  // number of samples that weigh as much as the prior
	regressionSpread = 0.25 // variance of x below which the prior's slope is used
)

func (r *regression) add(x, y float64) {
	r.weight = r.weight*stepDecay + 1
	r.x = r.x*stepDecay + x
	r.y = r.y*stepDecay + y
	r.xx = r.xx*stepDecay + x*x
	r.xy = r.xy*stepDecay + x*y
}

// predict returns the value at x. base is the prior's value at 1 and slope its increase for
// each unit of x.
func (r *regression) predict(x, base, slope float64) float64 {
	prior := base + slope*(x-1)
	if r.weight == 0 {
		return prior
	}
	meanX, meanY := r.x/r.weight, r.y/r.weight
	variance := r.xx/r.weight - meanX*meanX
	fitted := slope
	if variance > regressionSpread {
		trust := r.weight / (r.weight + regressionTrust)
		measured := max((r.xy/r.weight-meanX*meanY)/variance, 0)
		fitted = trust*measured + (1-trust)*slope
	}
	value := max(meanY+fitted*(x-meanX), 0.2*meanY)
	trust := r.weight / (r.weight + regressionTrust)
	return trust*value + (1-trust)*prior
}
