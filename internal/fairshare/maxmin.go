package fairshare

import (
	"cmp"
	"slices"
)

// Claim is the demand of one claimant for a part of a total.
type Claim struct {
	// Index is for the caller, who finds the claimant by it after MaxMin has sorted the claims.
	Index          int
	Weight, Demand float64
	// Fair is what the claimant may use. It is set by MaxMin.
	Fair float64
}

// MaxMin divides a total by weighted max-min fairness: in proportion to the weights, where
// what a claimant does not use is divided among those with a higher demand per weight. It
// sorts the claims by demand per weight.
func MaxMin(total float64, claims []Claim) {
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Demand/a.Weight, b.Demand/b.Weight) })
	divideSorted(total, claims)
}

// divideSorted is MaxMin for claims sorted by demand per weight.
func divideSorted(total float64, claims []Claim) {
	weights := 0.0
	for i := range claims {
		weights += claims[i].Weight
	}
	for i := range claims {
		c := &claims[i]
		c.Fair = total * c.Weight / weights
		total -= min(c.Fair, c.Demand)
		weights -= c.Weight
	}
}
