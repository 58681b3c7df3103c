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
	// maxTimeLimit is the maximum of every time limit. Claims must be retained for
	// at least as long.
	maxTimeLimit = time.Hour
	// maxSharePercentSum is the maximum sum of the teams' shares, in percent.
	maxSharePercentSum = 100
	// shareTolerancePercent is the tolerance of the sum, since shares are rounded to
	// few decimals.
	shareTolerancePercent = 1e-6
)

// checker checks a decoded bundle and reports each problem to doc under its path.
type checker struct {
	doc      *jsonc.Document
	bundle   *Bundle
	models   map[string]*Model
	services map[string]bool
}

func check(doc *jsonc.Document, b *Bundle) {
	c := &checker{doc: doc, bundle: b, models: map[string]*Model{}, services: map[string]bool{}}
	c.checkNotEmpty("name", b.Name)
	c.checkModels()
	c.checkServices()
	c.checkClasses()
	c.checkTeams()
	c.checkLimits()
	c.checkRoll()
}

func (c *checker) checkNotEmpty(path, value string) {
	if value == "" {
		c.doc.Report(path, "is empty", "a name")
	}
}

func (c *checker) checkPositive(path string, value int64) {
	if value < 1 {
		c.doc.Report(path, fmt.Sprintf("%d is out of range", value), "1 or more")
	}
}

func (c *checker) checkPercent(path string, value float64) {
	if value < 0 || value > 100 {
		c.doc.Report(path, fmt.Sprintf("%g is out of range", value), "0 to 100")
	}
}

func (c *checker) checkTimeLimit(path string, value jsonc.Duration) {
	if value <= 0 || value.Std() > maxTimeLimit {
		c.doc.Report(path, value.Std().String()+" is out of range", "more than 0s, up to "+maxTimeLimit.String())
	}
}

// checkUnique reports name at path if seen has it already, and adds it to seen.
func (c *checker) checkUnique(path, name string, seen map[string]bool) {
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
		modelPath := elementPath("models", i)
		c.checkNotEmpty(modelPath+".name", model.Name)
		c.checkNotEmpty(modelPath+".version", model.Version)
		c.checkUnique(modelPath+".name", model.Name, seen)
		c.checkPositive(modelPath+".bytes_per_token", int64(model.BytesPerToken))
		c.checkPositive(modelPath+".context_tokens", model.ContextTokens)
		c.checkPositive(modelPath+".weight_bytes", int64(model.WeightBytes))
		if model.MinServers < 0 {
			c.doc.Report(modelPath+".min_servers", "is out of range", "0 or more")
		}
		adapters := map[string]bool{}
		for j, adapter := range model.Adapters {
			adapterPath := elementPath(modelPath+".adapters", j)
			c.checkNotEmpty(adapterPath+".name", adapter.Name)
			c.checkNotEmpty(adapterPath+".version", adapter.Version)
			c.checkUnique(adapterPath+".name", adapter.Name, adapters)
		}
		c.models[model.Name] = model
	}
}

func (c *checker) checkServices() {
	seen := map[string]bool{}
	for i, service := range c.bundle.Services {
		servicePath := elementPath("services", i)
		c.checkNotEmpty(servicePath+".name", service.Name)
		c.checkUnique(servicePath+".name", service.Name, seen)
		c.services[service.Name] = true
		if len(service.Operations) == 0 {
			c.doc.Report(servicePath+".operations", "is empty", "one operation or more")
		}
		c.checkOperations(servicePath, service.Operations)
	}
}

var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func (c *checker) checkOperations(servicePath string, operations []Operation) {
	names := map[string]bool{}
	routes := map[string]bool{}
	for i, operation := range operations {
		operationPath := elementPath(servicePath+".operations", i)
		c.checkNotEmpty(operationPath+".name", operation.Name)
		c.checkUnique(operationPath+".name", operation.Name, names)
		c.checkUnique(operationPath+".path", operation.Method+" "+operation.Path, routes)
		if !slices.Contains(methods, operation.Method) {
			c.doc.Report(operationPath+".method", strconv.Quote(operation.Method)+" is no method", strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(operation.Path, "/") {
			c.doc.Report(operationPath+".path", strconv.Quote(operation.Path)+" is no path", "a path that begins with /")
		}
		if wildcard := strings.Index(operation.Path, "*"); wildcard >= 0 && !strings.HasSuffix(operation.Path, "/*") {
			c.doc.Report(operationPath+".path", "has * in the middle", "* as the last segment only")
		}
		c.checkTimeLimit(operationPath+".time_limit", operation.TimeLimit)
	}
}

func (c *checker) checkClasses() {
	if len(c.bundle.Classes) == 0 {
		c.doc.Report("classes", "is empty", "one prompt-length class or more")
	}
	seen := map[string]bool{}
	var previous int64
	for i, class := range c.bundle.Classes {
		classPath := elementPath("classes", i)
		c.checkNotEmpty(classPath+".name", class.Name)
		c.checkUnique(classPath+".name", class.Name, seen)
		if class.MaxPromptTokens <= previous {
			problem := fmt.Sprintf("%d is not above the class before", class.MaxPromptTokens)
			c.doc.Report(classPath+".max_prompt_tokens", problem, fmt.Sprintf("more than %d", previous))
		}
		previous = max(previous, class.MaxPromptTokens)
		c.checkTimeLimit(classPath+".time_limit", class.TimeLimit)
		c.checkTimeLimit(classPath+".stall_limit", class.StallLimit)
		if class.StallLimit > class.TimeLimit {
			c.doc.Report(classPath+".stall_limit", "is longer than time_limit", "up to "+class.TimeLimit.Std().String())
		}
	}
}

func (c *checker) checkTeams() {
	if len(c.bundle.Teams) == 0 {
		c.doc.Report("teams", "is empty", "one team or more")
	}
	names := map[string]bool{}
	seenDigests := map[string]bool{}
	var shareSum float64
	for i := range c.bundle.Teams {
		team := &c.bundle.Teams[i]
		teamPath := elementPath("teams", i)
		c.checkNotEmpty(teamPath+".name", team.Name)
		c.checkUnique(teamPath+".name", team.Name, names)
		c.checkKeys(teamPath, team.KeySHA256, seenDigests)
		if team.Priority < 0 || team.Priority > maxPriority {
			c.doc.Report(teamPath+".priority", fmt.Sprintf("%d is out of range", team.Priority), fmt.Sprintf("0 to %d", maxPriority))
		}
		c.checkPercent(teamPath+".share_percent", team.SharePercent)
		previousSum := shareSum
		shareSum += team.SharePercent
		if shareSum > maxSharePercentSum+shareTolerancePercent && previousSum <= maxSharePercentSum+shareTolerancePercent {
			problem := fmt.Sprintf("the shares sum up to %g %% with this team", shareSum)
			c.doc.Report(teamPath+".share_percent", problem, "a sum of 100 % or less")
		}
		c.checkTeamReferences(teamPath, team)
		c.checkTeamLimits(teamPath+".limits", team)
	}
}

func (c *checker) checkKeys(teamPath string, digests []string, seen map[string]bool) {
	if len(digests) == 0 {
		c.doc.Report(teamPath+".key_sha256", "is empty", "one digest of an API key or more")
	}
	for i, digest := range digests {
		path := elementPath(teamPath+".key_sha256", i)
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

func (c *checker) checkTeamReferences(teamPath string, team *Team) {
	models := map[string]bool{}
	for i, name := range team.Models {
		path := elementPath(teamPath+".models", i)
		if c.models[name] == nil {
			c.doc.Report(path, "names a missing model "+strconv.Quote(name), "a name from models")
		}
		c.checkUnique(path, name, models)
	}
	services := map[string]bool{}
	for i, name := range team.Services {
		path := elementPath(teamPath+".services", i)
		if !c.services[name] {
			c.doc.Report(path, "names a missing service "+strconv.Quote(name), "a name from services")
		}
		c.checkUnique(path, name, services)
	}
	if len(team.Models)+len(team.Services) == 0 {
		c.doc.Report(teamPath+".models", "the team may use nothing", "one model or service or more")
	}
}

// checkTeamLimits reports negative limits, and a memory limit that would refuse
// the longest prompt that the team may send.
func (c *checker) checkTeamLimits(limitsPath string, team *Team) {
	limits := team.Limits
	if limits.RequestsPerSecond < 0 {
		c.doc.Report(limitsPath+".requests_per_second", "is out of range", "0 (no bound) or more")
	}
	if limits.TokensPerSecond < 0 {
		c.doc.Report(limitsPath+".tokens_per_second", "is out of range", "0 (no bound) or more")
	}
	if limits.ConcurrentRequests < 0 {
		c.doc.Report(limitsPath+".concurrent", "is out of range", "0 (no bound) or more")
	}
	maxTokens := c.maxPromptTokens(team)
	if limits.EngineMemoryTokens != 0 && limits.EngineMemoryTokens < maxTokens {
		problem := fmt.Sprintf("%d is smaller than one longest prompt", limits.EngineMemoryTokens)
		c.doc.Report(limitsPath+".engine_memory_tokens", problem, fmt.Sprintf("0 (no bound), or %d or more", maxTokens))
	}
}

// maxPromptTokens returns the maximum length of a prompt that the classes and the
// team's models allow, in tokens.
func (c *checker) maxPromptTokens(team *Team) int64 {
	var contextTokens int64
	for _, name := range team.Models {
		if model := c.models[name]; model != nil {
			contextTokens = max(contextTokens, model.ContextTokens)
		}
	}
	if len(c.bundle.Classes) == 0 {
		return 0
	}
	return min(contextTokens, c.bundle.Classes[len(c.bundle.Classes)-1].MaxPromptTokens)
}

func (c *checker) checkLimits() {
	limits := c.bundle.Limits
	c.checkPositive("limits.max_body", int64(limits.MaxBody))
	c.checkPositive("limits.max_answer_tokens", limits.MaxAnswerTokens)
	c.checkTimeLimit("limits.min_time_limit", limits.MinTimeLimit)
	c.checkPercent("limits.short_reserve_percent", limits.ShortReservePercent)
	c.checkPercent("limits.retry_budget_percent", limits.RetryBudgetPercent)
	c.checkPercent("limits.max_ejected_percent", limits.MaxEjectedPercent)
	if limits.ClaimRetention.Std() < maxTimeLimit {
		problem := limits.ClaimRetention.Std().String() + " is shorter than a call may take"
		c.doc.Report("limits.claim_retention", problem, maxTimeLimit.String()+" or more")
	}
	c.checkBodyFitsLongestPrompt()
}

// checkBodyFitsLongestPrompt reports a body limit that would refuse the longest
// prompt of a model.
func (c *checker) checkBodyFitsLongestPrompt() {
	for i, model := range c.bundle.Models {
		if len(c.bundle.Classes) == 0 {
			return
		}
		maxTokens := min(model.ContextTokens, c.bundle.Classes[len(c.bundle.Classes)-1].MaxPromptTokens)
		minBodyBytes := maxTokens * int64(model.BytesPerToken)
		if int64(c.bundle.Limits.MaxBody) < minBodyBytes {
			problem := fmt.Sprintf("is smaller than one longest prompt of %s", elementPath("models", i))
			c.doc.Report("limits.max_body", problem, fmt.Sprintf("%dB or more", minBodyBytes))
			return
		}
	}
}

func (c *checker) checkRoll() {
	roll := c.bundle.Roll
	c.checkPositive("roll.weight_store_bytes_per_second", int64(roll.WeightStoreBytesPerSecond))
	c.checkPositive("roll.max_parallel_loads", int64(roll.MaxParallelLoads))
	c.checkPercent("roll.max_unavailable_percent", roll.MaxUnavailablePercent)
}

// elementPath returns the path of element i of the list at path.
func elementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
