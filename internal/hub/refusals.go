package hub

import (
	"fmt"

	"godwityoke.example/godwityoke/internal/observe"
)

// topRefusedTeams is the number of teams that a report of refusals names.
const topRefusedTeams = 3

// reportRefusals counts and logs the requests that the scheduler has refused since the last report. The
// scheduler counts them while the route table has teams.
func (c *core) reportRefusals() {
	now := c.scheduler.Refusals()
	total, again := now.Total-c.refusals.Total, now.Again-c.refusals.Again
	if total == 0 {
		return
	}
	c.refusals = now
	c.options.Metrics.Counter("godwityoke_scheduler_refused_total").Inc(int64(total))
	c.options.Metrics.Counter("godwityoke_scheduler_refused_again_total").Inc(int64(again))
	teams := make([]string, 0, topRefusedTeams)
	for _, team := range c.scheduler.TakeMostRefused(topRefusedTeams) {
		teams = append(teams, fmt.Sprintf("%s: %d", team.Team, team.Count))
	}
	observe.Log(c.options.Logger, observe.SchedulerRefusals).Int("refused", total).Int("again", again).Strs("teams", teams).Send()
}
