package apportioner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// class is a number of instances of the same weight.
type class struct {
	count  int
	weight float64
	// domains are the failure domains of the instances, in turn; nil means a, b and c.
	domains []string
}

// mix returns the instances of some classes, each with a unique name.
func mix(classes ...class) []Member {
	var members []Member
	for number, class := range classes {
		domains := class.domains
		if domains == nil {
			domains = []string{"a", "b", "c"}
		}
		for i := range class.count {
			members = append(members, Member{Name: fmt.Sprintf("class-%d-%d", number, i), Domain: domains[i%len(domains)], Weight: class.weight})
		}
	}
	return members
}

// formerThreshold is the reference: the weight below which instances delegated their jobs by the two former rules of package
// gossiper, or 0.
func formerThreshold(members []Member) float64 {
	largest, total := 0.0, 0.0
	for _, member := range members {
		largest = max(largest, member.Weight)
		total += member.Weight
	}
	for _, rule := range []struct {
		ratio    float64
		minCount int
		minShare float64
	}{{0.7, 12, 0.25}, {0.4, 1, 0.5}} {
		threshold := rule.ratio * largest
		count, remaining := 0, 0.0
		for _, member := range members {
			if member.Weight >= threshold {
				count++
				remaining += member.Weight
			}
		}
		if count >= rule.minCount && remaining >= rule.minShare*total {
			return threshold
		}
	}
	return 0
}

func starting(plan Plan, members []Member) []string {
	var names []string
	for _, member := range members {
		if plan.Starts(member.Name) {
			names = append(names, member.Name)
		}
	}
	slices.Sort(names)
	return names
}

// The two former rules were measured on these deployments: a change of roles there would make the figures void.
func TestMeasuredDeploymentsKeepTheirRoles(t *testing.T) {
	for _, members := range [][]Member{
		mix(class{6, 0.4, nil}),
		mix(class{9, 0.4, nil}),
		mix(class{8, 0.4, nil}),
		mix(class{6, 0.8, nil}, class{9, 0.48, nil}, class{22, 0.144, nil}),
		mix(class{10, 0.8, nil}, class{9, 0.48, nil}, class{24, 0.144, nil}),
		mix(class{6, 0.8, nil}, class{9, 0.48, nil}, class{28, 0.144, nil}),
		mix(class{15, 0.8, nil}, class{35, 0.48, nil}, class{97, 0.144, nil}),
		mix(class{6, 0.8, nil}, class{7, 0.48, nil}, class{21, 0.144, nil}),
		mix(class{6, 0.8, nil}, class{9, 0.48, nil}, class{23, 0.144, nil}),
	} {
		is := is.New(t)
		for _, limit := range []int{0, 64} {
			plan := New(members, Limits{limit})
			threshold := formerThreshold(members)
			for _, member := range members {
				is.Equal(plan.Starts(member.Name), member.Weight >= threshold)
				is.Equal(plan.Connections(member.Name, true), 0) // limits would change the measured behaviour too
				is.True(plan.Uses(member.Name, "t", "a"))
			}
		}
	}
}

// Small instances get as many callers as large ones and would be overloaded, so they must delegate. Equal instances
// must not, and a few large instances must not get the jobs of many small ones: they must share them with as many others as
// hold half of all weight. The limit of targets is unknown here, as before the first configuration.
func TestDelegatingInstances(t *testing.T) {
	for _, test := range []struct {
		name       string
		members    []Member
		delegating int
	}{
		{"alone", mix(class{1, 0.4, nil}), 0},
		{"all equal", mix(class{9, 0.4, nil}), 0},
		{"slightly different", mix(class{5, 0.4, nil}, class{5, 0.5, nil}), 0},
		{"six large, nine medium, many small", mix(class{6, 0.8, nil}, class{9, 0.48, nil}, class{22, 0.144, nil}), 22},
		{"one large, many small", mix(class{1, 0.8, nil}, class{22, 0.144, nil}), 11},
		{"hundreds, fifteen large", mix(class{15, 0.8, nil}, class{35, 0.48, nil}, class{97, 0.144, nil}), 132},
		{"hundreds, few large", mix(class{6, 0.8, nil}, class{44, 0.48, nil}, class{97, 0.144, nil}), 97},
		{"hundreds, all equal", mix(class{300, 0.4, nil}), 0},
		{"none", nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			plan := New(test.members, Limits{})
			is.Equal(len(test.members)-len(starting(plan, test.members)), test.delegating)
		})
	}
}

// mixes are deployments of all shapes. Where the connection limit of targets is known, the rule and the number of starting
// instances are those of a limit of 64.
var mixes = []struct {
	name     string
	members  []Member
	rule     Rule
	starting int
}{
	{"none", nil, RuleAll, 0},
	{"alone", mix(class{1, 0.4, nil}), RuleAll, 1},
	{"six large", mix(class{6, 0.8, nil}, class{38, 0.192, nil}), RulePrefix, 13},
	{"half of the large lost", mix(class{3, 0.8, nil}, class{38, 0.192, nil}), RulePrefix, 16},
	{"large of one domain lost", mix(class{4, 0.8, []string{"a", "b"}}, class{38, 0.192, nil}), RulePrefix, 15},
	{"all large lost", mix(class{38, 0.192, nil}), RulePrefix, 19},
	{"equal", mix(class{38, 0.4, nil}), RulePrefix, 19},
	{"fewer equal", mix(class{20, 0.4, nil}), RuleAll, 20},
	{"most equal that start without limits", mix(class{32, 0.4, nil}), RuleAll, 32},
	{"hundreds equal", mix(class{300, 0.1, nil}), RulePrefix, 48},
	{"hundreds almost equal", mix(class{299, 0.1, nil}, class{1, 0.05, nil}), RulePrefix, 48},
	{"giant beside forty", mix(class{1, 8, nil}, class{40, 0.2, nil}), RulePrefix, 12},
	{"giant beside five", mix(class{1, 8, nil}, class{5, 0.2, nil}), RuleLarger, 1},
	{"medium not enough", mix(class{6, 0.8, nil}, class{44, 0.48, nil}, class{97, 0.144, nil}), RulePrefix, 38},
	{"large in one domain", mix(class{9, 2, []string{"a"}}, class{60, 0.3, []string{"b", "c", "d"}}), RulePrefix, 12},
	{"many domains", mix(class{40, 0.2, []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n"}}, class{3, 2, []string{"a"}}), RulePrefix, 16},
}

// Work must start on enough instances, and not on so many that the targets reset their connections. A failure domain without
// a starting instance would delegate all its jobs across domains, and start nothing until a cut is noticed.
func TestStartingInstances(t *testing.T) {
	for _, test := range mixes {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			plan := New(test.members, Limits{64})
			is.Equal(plan.Rule(), test.rule)
			is.Equal(plan.Starting(), test.starting)
			is.Equal(len(starting(plan, test.members)), test.starting)
			is.True(plan.Rule() != RulePrefix || plan.Starting() == maxStarting || plan.Share() >= minShare)
			covered := make(map[string]bool)
			for _, member := range test.members {
				covered[member.Domain] = covered[member.Domain] || plan.Starts(member.Name)
			}
			for _, isCovered := range covered {
				is.True(isCovered || plan.Rule() != RulePrefix || plan.Starting() < len(covered))
			}
		})
	}
}

// Connections over a target's limit are reset and opened again, which took most of the processor time. The sum over all
// users of a target must stay below the limit, whoever its reader is.
func TestBudgetsStayBelowTheLimit(t *testing.T) {
	for _, test := range mixes {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for _, limit := range []int{1, 2, 3, 4, 5, 6, 12, 24, 64, 200} {
				plan := New(test.members, Limits{limit})
				if plan.Rule() != RulePrefix {
					is.True(minConnections*plan.Starting() <= limit)
					continue
				}
				names := starting(plan, test.members)
				for _, target := range []string{"t1", "t2", "t3"} {
					sum, users := 0, 0
					for _, name := range names {
						if plan.Uses(name, target, "a") {
							users++
							sum += plan.Connections(name, false)
						}
					}
					for _, reader := range names {
						extra := plan.Connections(reader, true)
						if plan.Uses(reader, target, "a") {
							extra -= plan.Connections(reader, false)
						}
						is.True(sum+extra <= limit)
					}
					is.True(users == len(names) || users == plan.Users())
				}
			}
		})
	}
}

// A larger instance that gets no more connections than a small one cannot use its processor; and a limit below two lets a held
// poll block all starts.
func TestConnectionsAreDividedByWeight(t *testing.T) {
	is := is.New(t)
	members := mix(class{6, 0.8, nil}, class{38, 0.192, nil})
	plan := New(members, Limits{64})
	for _, name := range starting(plan, members) {
		expected := 2
		if name < "class-1" {
			expected = 5 // (48 - 7 x 2) / 6
		}
		is.Equal(plan.Connections(name, false), expected)
		is.Equal(plan.Connections(name, true), expected+1)
	}
	is.Equal(plan.Starts("class-1-37"), false)
	is.Equal(plan.Connections("class-1-37", false), 2) // for its last runs
	unknown := New(members, Limits{})
	is.Equal(unknown.Starting(), 13)
	is.Equal(unknown.Connections("class-0-0", true), 0)
}

// Two instances that know the others in a different order must not come to different roles.
func TestOrderOfMembersDoesNotMatter(t *testing.T) {
	for _, test := range mixes {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			expected := New(test.members, Limits{64})
			random := rand.New(rand.NewPCG(1, 2))
			shuffled := slices.Clone(test.members)
			for range 5 {
				random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
				is.Equal(New(shuffled, Limits{64}), expected)
			}
		})
	}
}

// An instance that is restarted must not count twice while the loss of its former process has not been noticed.
func TestRestartedInstanceCountsOnce(t *testing.T) {
	is := is.New(t)
	members := mix(class{6, 0.8, nil}, class{38, 0.192, nil})
	is.Equal(New(append(slices.Clone(members), members[0], members[20]), Limits{64}), New(members, Limits{64}))
}

// While the views of two instances differ, or after the loss or the join of one instance, a large change of roles would open
// connections everywhere at once. Only the loss of a giant, which holds half of all weight, needs many others.
func TestOneInstanceChangesFewRoles(t *testing.T) {
	for _, test := range mixes {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			plan := New(test.members, Limits{64})
			if plan.Rule() != RulePrefix {
				return
			}
			views := [][]Member{append(slices.Clone(test.members), Member{Name: "joins", Domain: "b", Weight: 0.192})}
			for i := range test.members {
				if test.members[i].Weight < 8 {
					views = append(views, slices.Delete(slices.Clone(test.members), i, i+1))
				}
			}
			for _, view := range views {
				other, changes := New(view, Limits{64}), 0
				for _, member := range test.members {
					if other.Starts(member.Name) != plan.Starts(member.Name) {
						changes++
					}
				}
				is.True(changes <= 3) // the lost one and two that replace it
			}
		})
	}
}

// If more instances start than a target accepts connections from, each target must still be used from its own failure domain
// first, and the work of the others must be spread over all of them.
func TestUsersOfTargets(t *testing.T) {
	is := is.New(t)
	members := mix(class{300, 0.1, nil})
	plan := New(members, Limits{64})
	is.True(plan.Restricted())
	is.Equal(plan.Users(), 24)
	uses := make(map[string]int)
	for target := range 200 {
		id, domain := fmt.Sprintf("t%d", target), []string{"a", "b", "c"}[target%3]
		local, users := 0, 0
		for _, member := range members {
			if plan.Starts(member.Name) && plan.Uses(member.Name, id, domain) {
				users++
				uses[member.Name]++
				if member.Domain == domain {
					local++
				}
			}
		}
		is.Equal(users, 24)
		is.Equal(local, 16) // all of the domain
	}
	for _, name := range starting(plan, members) {
		is.True(uses[name] >= 66) // all targets of its own domain
		is.True(uses[name] <= 66+1+65)
	}
}
