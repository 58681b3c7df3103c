package routes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func validTable() Table {
	return Table{
		Version:  3,
		Services: []Service{{Name: "model"}, {Name: "desk"}},
		Routes: []Route{
			{Name: "r1", Host: "One.example", Prefix: "/a/", Kind: KindSafe, Timeout: time.Second, Split: []Share{{"model", 3}, {"desk", 1}}},
			{Name: "r2", Host: "one.example", Prefix: "/a/b/", Kind: KindUnsafe, Timeout: time.Second, Split: []Share{{"desk", 1}}, Public: true},
		},
		Teams: []Team{{Name: "t1", Keys: []string{"k1", "k2"}}, {Name: "t2", Keys: []string{"k3"}}},
	}
}

func TestMatchReturnsLongestPrefixOfTheHost(t *testing.T) {
	table := New(validTable())
	require.Equal(t, "r1", table.Match("one.example:80", "/a/x").Name)
	require.Equal(t, "r2", table.Match("ONE.example", "/a/b/x").Name)
	require.Equal(t, "r1", table.Match("one.example", "/a/b").Name, "the prefix includes its final slash")
	require.Nil(t, table.Match("two.example", "/a/x"))
	require.Nil(t, table.Match("one.example", "/b/"))
}

func TestRequestsAreSplitByWeight(t *testing.T) {
	table := New(validTable())
	counts := map[string]int{}
	for draw := range uint64(400) {
		counts[table.Routes[0].ChooseService(draw)]++
	}
	require.Equal(t, map[string]int{"model": 300, "desk": 100}, counts)
}

func TestTeamIsFoundByKey(t *testing.T) {
	table := New(validTable())
	require.True(t, table.NeedsKey(&table.Routes[0]))
	require.False(t, table.NeedsKey(&table.Routes[1]), "public route")
	require.Equal(t, "t1", table.TeamOf("k2").Name)
	require.Nil(t, table.TeamOf("k9"))
	require.Nil(t, table.TeamOf(""))
}

func TestCheckReportsEveryProblemWithItsPlace(t *testing.T) {
	valid := validTable()
	require.NoError(t, Check(&valid))
	for want, breakTable := range map[string]func(*Table){
		"version: must be positive":                       func(t *Table) { t.Version = 0 },
		`routes[0]: service "gone" does not exist`:        func(t *Table) { t.Routes[0].Split[0].Service = "gone" },
		"routes[1]: has the host and prefix of routes[0]": func(t *Table) { t.Routes[1].Prefix = "/a/" },
		"routes[1]: its weights add up to 0":              func(t *Table) { t.Routes[1].Split[0].Weight = 0 },
		"routes[0]: its timeout is not positive":          func(t *Table) { t.Routes[0].Timeout = 0 },
		`teams[1]: shares a key with team "t1"`:           func(t *Table) { t.Teams[1].Keys = []string{"k1"} },
		`services[1]: name "model" is used twice`:         func(t *Table) { t.Services[1].Name = "model" },
	} {
		table := validTable()
		breakTable(&table)
		require.ErrorContains(t, Check(&table), want)
		require.ErrorIs(t, Check(&table), ErrInvalid)
	}
	both := validTable()
	both.Version, both.Routes[0].Timeout = 0, 0
	require.ErrorContains(t, Check(&both), "version")
	require.ErrorContains(t, Check(&both), "timeout")
}
