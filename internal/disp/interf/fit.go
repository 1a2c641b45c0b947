package interf

import (
	"math"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// memory is the time constant with which runs are forgotten. With less, a gate with 30
	// runs a second of four kinds can't tell a factor of 1.5 from chance.
	memory = 8 * time.Second
	// solveInterval is the number of runs of a kind between two evaluations.
	solveInterval = 4
	// maxDeviations is the number of standard deviations at which the residual of a run is
	// cut off, so that the few runs of a heavy tail don't decide.
	maxDeviations = 2.0
	// initialVariance is that of the residuals before the first run: of run times that are
	// declared 40 % off and vary by 15 %. It counts as initialRuns runs.
	initialVariance = 0.14
	initialRuns     = 6
	minVariance     = 0.01
	// minVarianceWeight is the least weight of a run in the moving mean of the variance.
	minVarianceWeight = 0.03
	// trendDecay is the factor by which the weight of a run in a trend falls with each later
	// one, and trendDeviations the number of standard errors by which the latest runs must be
	// shorter than the fit says for the pair to have ended. staleWeight is then left of the
	// weight of all runs, which would otherwise keep the pair for 13 s.
	trendDecay      = 0.85
	trendDeviations = 2.5
	staleWeight     = 0.15
	// coefPenalty is the ridge penalty of effects, in runs. It holds effects near 0 for which
	// there is little evidence.
	coefPenalty = 0.3
	// sizePenalty is that of the coefficient of the expected run time.
	sizePenalty = 1.0
)

// Columns of a fit; those from firstKind on are the shares of the run with each kind.
const (
	intercept = iota
	size      // logarithm of the expected run time
	firstKind
	columns = firstKind + maxKinds
)

// fit is a least-squares fit, with exponential forgetting, of the logarithm of the ratio of
// run time to expected run time of one kind.
type fit struct {
	products   [columns][columns]float64 // weighted sums of products of columns; lower triangle
	moments    [columns]float64          // weighted sums of products with the ratio
	weight     float64                   // sum of the weights
	weight2    float64                   // sum of the squared weights
	coef       [columns]float64
	unscaled   [columns]float64 // variance of each coefficient, in multiples of the variance of the residuals; 0 if it is not estimated
	variance   float64          // of the residuals
	runs       int
	unsolved   int       // runs since coef was estimated
	sizeCentre float64   // subtracted from size; that of the first run
	at         boot.Time // when the sums were last decayed
	trends     [maxKinds]trend
}

// trend sums up the residuals, in standard deviations, of the latest runs beside a kind.
type trend struct{ sum, variance float64 }

// add adds a run and returns its residual, cut off at maxDeviations.
func (f *fit) add(shares *[maxKinds]float64, logExpected, ratio float64, now boot.Time) float64 {
	if f.runs == 0 {
		f.sizeCentre, f.variance, f.at = logExpected, initialVariance, now
	}
	var x [columns]float64
	x[intercept], x[size] = 1, logExpected-f.sizeCentre
	copy(x[firstKind:], shares[:])
	predicted := 0.0
	for i, v := range x {
		predicted += f.coef[i] * v
	}
	limit := maxDeviations * math.Sqrt(f.variance)
	residual := min(max(ratio-predicted, -limit), limit)
	f.decay(now)
	f.runs++
	f.unsolved++
	f.weight++
	f.weight2++
	for i, v := range x {
		if v == 0 {
			continue
		}
		for j := range i + 1 {
			f.products[i][j] += v * x[j]
		}
		f.moments[i] += v * (predicted + residual)
	}
	for place, share := range shares {
		if share > 0 {
			t := &f.trends[place]
			t.sum = trendDecay*t.sum + share*residual/math.Sqrt(f.variance)
			t.variance = trendDecay*trendDecay*t.variance + share*share
		}
	}
	f.variance += max(minVarianceWeight, 1/float64(f.runs+initialRuns)) * (residual*residual - f.variance)
	f.variance = max(f.variance, minVariance)
	return residual
}

// decay reduces the weight of earlier runs.
func (f *fit) decay(now boot.Time) {
	f.scale(math.Exp(-float64(max(0, now.Sub(f.at))) / float64(memory)))
	f.at = now
}

// hasEnded reports whether the latest runs beside the kind in a place are much shorter than
// the fit says.
func (f *fit) hasEnded(place int) bool {
	t := f.trends[place]
	return t.sum < -trendDeviations*math.Sqrt(t.variance)
}

// distrust reduces the weight of all runs, as what they show has ended.
func (f *fit) distrust() {
	f.scale(staleWeight)
	clear(f.trends[:])
}

// scale multiplies the weight of all runs.
func (f *fit) scale(factor float64) {
	f.weight *= factor
	f.weight2 *= factor * factor
	for i := range f.products {
		for j := range i + 1 {
			f.products[i][j] *= factor
		}
		f.moments[i] *= factor
	}
}

// beside and apart return the weight of runs beside the kind in a place, and without it.
func (f *fit) beside(place int) float64 { return f.products[firstKind+place][intercept] }
func (f *fit) apart(place int) float64  { return f.weight - f.beside(place) }

// contrast returns the lesser of the weights of runs beside and apart.
func (f *fit) contrast(place int) float64 { return min(f.beside(place), f.apart(place)) }

// effect returns the logarithm of the factor by which runs are longer beside the kind in a
// place, and its variance. It reports false if it is not estimated.
func (f *fit) effect(place int) (log, variance float64, ok bool) {
	u := f.unscaled[firstKind+place]
	if u <= 0 || f.weight <= 0 {
		return 0, 0, false
	}
	// With weights, the sums of squares overstate the variance by weight/weight2.
	return f.coef[firstKind+place], f.variance * u * f.weight2 / f.weight, true
}

// forget removes the kind in a place from the columns.
func (f *fit) forget(place int) {
	c := firstKind + place
	for i := range columns {
		f.products[max(i, c)][min(i, c)] = 0
	}
	f.moments[c], f.coef[c], f.unscaled[c], f.trends[place] = 0, 0, 0, trend{}
}

// solve estimates the coefficients by a Cholesky decomposition of the columns for which
// there are runs both beside and apart.
func (f *fit) solve() {
	f.unsolved = 0
	used := make([]int, 0, columns)
	used = append(used, intercept, size)
	for place := range maxKinds {
		if f.contrast(place) >= 1 {
			used = append(used, firstKind+place)
		}
	}
	n := len(used)
	var lower [columns][columns]float64
	for i := range n {
		for j := range i + 1 {
			sum := f.products[used[i]][used[j]]
			if i == j {
				sum += penalty(used[i])
			}
			for k := range j {
				sum -= lower[i][k] * lower[j][k]
			}
			if i == j {
				lower[i][i] = math.Sqrt(max(sum, 1e-9))
				continue
			}
			lower[i][j] = sum / lower[j][j]
		}
	}
	clear(f.coef[:])
	clear(f.unscaled[:])
	var half [columns]float64
	for i := range n {
		sum := f.moments[used[i]]
		for k := range i {
			sum -= lower[i][k] * half[k]
		}
		half[i] = sum / lower[i][i]
	}
	for i := n - 1; i >= 0; i-- {
		sum := half[i]
		for k := i + 1; k < n; k++ {
			sum -= lower[k][i] * f.coef[used[k]]
		}
		f.coef[used[i]] = sum / lower[i][i]
	}
	for c := range n {
		f.unscaled[used[c]] = inverseDiagonal(&lower, c, n)
	}
}

// penalty returns the ridge penalty of a column.
func penalty(column int) float64 {
	switch column {
	case intercept:
		return 0
	case size:
		return sizePenalty
	}
	return coefPenalty
}

// inverseDiagonal returns element c of the diagonal of the inverse of the matrix of n
// columns whose Cholesky factor is lower.
func inverseDiagonal(lower *[columns][columns]float64, c, n int) float64 {
	var column [columns]float64
	column[c] = 1 / lower[c][c]
	sum := column[c] * column[c]
	for i := c + 1; i < n; i++ {
		s := 0.0
		for k := c; k < i; k++ {
			s -= lower[i][k] * column[k]
		}
		column[i] = s / lower[i][i]
		sum += column[i] * column[i]
	}
	return sum
}
