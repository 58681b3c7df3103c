package bundle

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/jsonc"
)

const (
	// maxPriority is the highest priority of a team.
	maxPriority = 9
	// keyDigestBytes is the length of a SHA-256 digest.
	keyDigestBytes = 32
	// longestTimeLimit bounds every time limit.
	longestTimeLimit = time.Hour
	// fullShare is the sum that the teams' shares may not exceed, in percent.
	fullShare = 100
	// shareRounding allows for shares that are written with few decimals.
	shareRounding = 1e-6
)

type checker struct {
	doc      *jsonc.Document
	bundle   *Bundle
	models   map[string]*Model
	services map[string]bool
}

func check(doc *jsonc.Document, b *Bundle) {
	c := &checker{doc: doc, bundle: b, models: map[string]*Model{}, services: map[string]bool{}}
	c.required("name", b.Name)
	c.checkModels()
	c.checkServices()
	c.checkClasses()
	c.checkTeams()
	c.checkLimits()
	c.checkRoll()
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.doc.Report(path, "is empty", "a name")
	}
}

func (c *checker) positive(path string, value int64) {
	if value < 1 {
		c.doc.Report(path, fmt.Sprintf("%d is out of range", value), "1 or more")
	}
}

func (c *checker) percent(path string, value float64) {
	if value < 0 || value > 100 {
		c.doc.Report(path, fmt.Sprintf("%g is out of range", value), "0 to 100")
	}
}

func (c *checker) timeLimit(path string, value jsonc.Duration) {
	if value <= 0 || value.Std() > longestTimeLimit {
		c.doc.Report(path, value.Std().String()+" is out of range", "more than 0s, up to "+longestTimeLimit.String())
	}
}

// unique reports name at path when seen holds it, and adds it.
func (c *checker) unique(path, name string, seen map[string]bool) {
	if seen[name] {
		c.doc.Report(path, strconv.Quote(name)+" is repeated", "each name once")
	}
	seen[name] = true
}

func (c *checker) checkModels() {
	if len(c.bundle.Models) == 0 {
		c.doc.Report("models", "is empty", "one model or more")
	}
	seen := map[string]bool{}
	for i := range c.bundle.Models {
		model := &c.bundle.Models[i]
		at := index("models", i)
		c.required(at+".name", model.Name)
		c.required(at+".version", model.Version)
		c.unique(at+".name", model.Name, seen)
		c.positive(at+".bytes_per_token", int64(model.BytesPerToken))
		c.positive(at+".context_tokens", model.ContextTokens)
		c.positive(at+".weight_bytes", int64(model.WeightBytes))
		if model.MinServers < 0 {
			c.doc.Report(at+".min_servers", "is out of range", "0 or more")
		}
		adapters := map[string]bool{}
		for j, adapter := range model.Adapters {
			adapterAt := index(at+".adapters", j)
			c.required(adapterAt+".name", adapter.Name)
			c.required(adapterAt+".version", adapter.Version)
			c.unique(adapterAt+".name", adapter.Name, adapters)
		}
		c.models[model.Name] = model
	}
}

func (c *checker) checkServices() {
	seen := map[string]bool{}
	for i, service := range c.bundle.Services {
		at := index("services", i)
		c.required(at+".name", service.Name)
		c.unique(at+".name", service.Name, seen)
		c.services[service.Name] = true
		if len(service.Operations) == 0 {
			c.doc.Report(at+".operations", "is empty", "one operation or more")
		}
		c.checkOperations(at, service.Operations)
	}
}

var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func (c *checker) checkOperations(serviceAt string, operations []Operation) {
	names := map[string]bool{}
	routes := map[string]bool{}
	for i, operation := range operations {
		at := index(serviceAt+".operations", i)
		c.required(at+".name", operation.Name)
		c.unique(at+".name", operation.Name, names)
		c.unique(at+".path", operation.Method+" "+operation.Path, routes)
		if !slices.Contains(methods, operation.Method) {
			c.doc.Report(at+".method", strconv.Quote(operation.Method)+" is no method", strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(operation.Path, "/") {
			c.doc.Report(at+".path", strconv.Quote(operation.Path)+" is no path", "a path that begins with /")
		}
		if wildcard := strings.Index(operation.Path, "*"); wildcard >= 0 && !strings.HasSuffix(operation.Path, "/*") {
			c.doc.Report(at+".path", "has * in the middle", "* as the last segment only")
		}
		c.timeLimit(at+".time_limit", operation.TimeLimit)
	}
}

func (c *checker) checkClasses() {
	if len(c.bundle.Classes) == 0 {
		c.doc.Report("classes", "is empty", "one prompt-length class or more")
	}
	seen := map[string]bool{}
	var previous int64
	for i, class := range c.bundle.Classes {
		at := index("classes", i)
		c.required(at+".name", class.Name)
		c.unique(at+".name", class.Name, seen)
		if class.MaxPromptTokens <= previous {
			problem := fmt.Sprintf("%d is not above the class before", class.MaxPromptTokens)
			c.doc.Report(at+".max_prompt_tokens", problem, fmt.Sprintf("more than %d", previous))
		}
		previous = max(previous, class.MaxPromptTokens)
		c.timeLimit(at+".time_limit", class.TimeLimit)
		c.timeLimit(at+".stall_limit", class.StallLimit)
		if class.StallLimit > class.TimeLimit {
			c.doc.Report(at+".stall_limit", "is longer than time_limit", "up to "+class.TimeLimit.Std().String())
		}
	}
}

func (c *checker) checkTeams() {
	if len(c.bundle.Teams) == 0 {
		c.doc.Report("teams", "is empty", "one team or more")
	}
	names := map[string]bool{}
	keys := map[string]bool{}
	var shares float64
	for i := range c.bundle.Teams {
		team := &c.bundle.Teams[i]
		at := index("teams", i)
		c.required(at+".name", team.Name)
		c.unique(at+".name", team.Name, names)
		c.checkKeys(at, team.KeySHA256, keys)
		if team.Priority < 0 || team.Priority > maxPriority {
			c.doc.Report(at+".priority", fmt.Sprintf("%d is out of range", team.Priority), fmt.Sprintf("0 to %d", maxPriority))
		}
		c.percent(at+".share_percent", team.SharePercent)
		before := shares
		shares += team.SharePercent
		if shares > fullShare+shareRounding && before <= fullShare+shareRounding {
			problem := fmt.Sprintf("the shares sum up to %g %% with this team", shares)
			c.doc.Report(at+".share_percent", problem, "a sum of 100 % or less")
		}
		c.checkTeamReferences(at, team)
		c.checkTeamLimits(at+".limits", team)
	}
}

func (c *checker) checkKeys(at string, digests []string, seen map[string]bool) {
	if len(digests) == 0 {
		c.doc.Report(at+".key_sha256", "is empty", "one digest of an API key or more")
	}
	for i, digest := range digests {
		path := index(at+".key_sha256", i)
		raw, err := hex.DecodeString(digest)
		if err != nil || len(raw) != keyDigestBytes || digest != strings.ToLower(digest) {
			c.doc.Report(path, "is no SHA-256 digest", "64 lower-case hexadecimal digits")
		}
		if seen[digest] {
			c.doc.Report(path, "the key is repeated", "each key for one team")
		}
		seen[digest] = true
	}
}

func (c *checker) checkTeamReferences(at string, team *Team) {
	models := map[string]bool{}
	for i, name := range team.Models {
		path := index(at+".models", i)
		if c.models[name] == nil {
			c.doc.Report(path, "names a missing model "+strconv.Quote(name), "a name from models")
		}
		c.unique(path, name, models)
	}
	services := map[string]bool{}
	for i, name := range team.Services {
		path := index(at+".services", i)
		if !c.services[name] {
			c.doc.Report(path, "names a missing service "+strconv.Quote(name), "a name from services")
		}
		c.unique(path, name, services)
	}
	if len(team.Models)+len(team.Services) == 0 {
		c.doc.Report(at+".models", "the team may use nothing", "one model or service or more")
	}
}

// checkTeamLimits reports limits that would refuse even one prompt of the
// shortest class, or one longest prompt where memory is concerned.
func (c *checker) checkTeamLimits(at string, team *Team) {
	limits := team.Limits
	if limits.RequestsPerSecond < 0 {
		c.doc.Report(at+".requests_per_second", "is out of range", "0 (no bound) or more")
	}
	if limits.TokensPerSecond < 0 {
		c.doc.Report(at+".tokens_per_second", "is out of range", "0 (no bound) or more")
	}
	if limits.ConcurrentRequests < 0 {
		c.doc.Report(at+".concurrent", "is out of range", "0 (no bound) or more")
	}
	longest := c.longestPrompt(team)
	if limits.EngineMemoryTokens != 0 && limits.EngineMemoryTokens < longest {
		problem := fmt.Sprintf("%d is smaller than one longest prompt", limits.EngineMemoryTokens)
		c.doc.Report(at+".engine_memory_tokens", problem, fmt.Sprintf("0 (no bound), or %d or more", longest))
	}
}

// longestPrompt returns the length in tokens of the longest prompt that the
// classes and the team's models allow.
func (c *checker) longestPrompt(team *Team) int64 {
	var context int64
	for _, name := range team.Models {
		if model := c.models[name]; model != nil {
			context = max(context, model.ContextTokens)
		}
	}
	if len(c.bundle.Classes) == 0 {
		return 0
	}
	return min(context, c.bundle.Classes[len(c.bundle.Classes)-1].MaxPromptTokens)
}

func (c *checker) checkLimits() {
	limits := c.bundle.Limits
	c.positive("limits.max_body", int64(limits.MaxBody))
	c.positive("limits.max_answer_tokens", limits.MaxAnswerTokens)
	c.timeLimit("limits.min_time_limit", limits.MinTimeLimit)
	c.percent("limits.short_reserve_percent", limits.ShortReservePercent)
	c.percent("limits.retry_budget_percent", limits.RetryBudgetPercent)
	c.percent("limits.max_ejected_percent", limits.MaxEjectedPercent)
	if limits.ClaimRetention.Std() < longestTimeLimit {
		problem := limits.ClaimRetention.Std().String() + " is shorter than a call may take"
		c.doc.Report("limits.claim_retention", problem, longestTimeLimit.String()+" or more")
	}
	c.checkBodyHoldsLongestPrompt()
}

func (c *checker) checkBodyHoldsLongestPrompt() {
	for i, model := range c.bundle.Models {
		if len(c.bundle.Classes) == 0 {
			return
		}
		longest := min(model.ContextTokens, c.bundle.Classes[len(c.bundle.Classes)-1].MaxPromptTokens)
		need := longest * int64(model.BytesPerToken)
		if int64(c.bundle.Limits.MaxBody) < need {
			problem := fmt.Sprintf("is smaller than one longest prompt of %s", index("models", i))
			c.doc.Report("limits.max_body", problem, fmt.Sprintf("%dB or more", need))
			return
		}
	}
}

func (c *checker) checkRoll() {
	roll := c.bundle.Roll
	c.positive("roll.weight_store_bytes_per_second", int64(roll.WeightStoreBytesPerSecond))
	c.positive("roll.max_parallel_loads", int64(roll.MaxParallelLoads))
	c.percent("roll.max_unavailable_percent", roll.MaxUnavailablePercent)
}

func index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
