package pipeline

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/currantwinch/currantwinch/document"
	"github.com/tailscale/hujson"
)

//go:embed policies.json
var defaultPolicies []byte

// Policy says how one class is placed.
type Policy struct {
	Order Order `json:"order"`
	// Candidates is how many workers are scored.
	Candidates int `json:"candidates"`
	// PerDomain looks for that many in each failure domain.
	PerDomain bool `json:"perDomain,omitempty"`
	// PackTogether packs tasks that wait together, while there is room for all.
	PackTogether bool `json:"waves,omitempty"`
	// LocalFirst tries first the workers that the home's own daemon owns, whose
	// book nobody else is likely to change.
	LocalFirst bool             `json:"local,omitempty"`
	Filters    []string         `json:"filters"`
	Weights    map[string]int64 `json:"weights"`
}

// Policies holds one policy for each class.
type Policies map[document.Class]Policy

// DefaultPolicies returns the built-in policies.
func DefaultPolicies() Policies {
	p, err := ParsePolicies(defaultPolicies)
	if err != nil {
		panic(err)
	}
	return p
}

// ParsePolicies reads policies from JSON with comments. It fails on a filter,
// scorer or order that does not exist and on a class that has no policy.
func ParsePolicies(text []byte) (Policies, error) {
	plain, err := hujson.Standardize(append([]byte(nil), text...))
	if err != nil {
		return nil, fmt.Errorf("pipeline: policies: %w", err)
	}
	var p Policies
	if err := json.Unmarshal(plain, &p); err != nil {
		return nil, fmt.Errorf("pipeline: policies: %w", err)
	}
	for _, class := range []document.Class{document.ClassService, document.ClassBatch, document.ClassGang} {
		policy, ok := p[class]
		if !ok {
			return nil, fmt.Errorf("pipeline: class %q has no policy", class)
		}
		if _, err := compile(policy); err != nil {
			return nil, fmt.Errorf("pipeline: class %q: %w", class, err)
		}
	}
	return p, nil
}

// weighted is one scorer with its weight.
type weighted struct {
	Scorer
	weight int64
}

// compiled is a policy with its plugins looked up.
type compiled struct {
	Policy
	filters []Filter
	scorers []weighted
}

func compile(p Policy) (*compiled, error) {
	if p.Order != BestFit && p.Order != WorstFit {
		return nil, fmt.Errorf("unknown order %q", p.Order)
	}
	if p.Candidates <= 0 {
		return nil, fmt.Errorf("candidates must be positive")
	}
	c := &compiled{Policy: p}
	for _, name := range p.Filters {
		f, ok := filters[name]
		if !ok {
			return nil, fmt.Errorf("unknown filter %q", name)
		}
		c.filters = append(c.filters, f)
	}
	for _, name := range sortedNames(p.Weights) {
		s, ok := scorers[name]
		if !ok {
			return nil, fmt.Errorf("unknown scorer %q", name)
		}
		c.scorers = append(c.scorers, weighted{s, p.Weights[name]})
	}
	return c, nil
}

func sortedNames(m map[string]int64) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
