package place

import (
	"slices"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// fits reports whether server may take query at all: it is not excluded, its
// role takes prompts and its whole memory holds the query.
func fits(server *Server, query *Query) bool {
	if server.Role == backendapi.RoleDecode || slices.Contains(query.Exclude, server.ID) {
		return false
	}
	return server.MemoryTokens == 0 || query.MemoryTokens() <= server.MemoryTokens
}

// appendCandidates appends the servers that may take query to buffer.
func appendCandidates(buffer []candidate, servers []Server, query *Query, inFlight *inFlightTable) []candidate {
	for i := range servers {
		if !fits(&servers[i], query) {
			continue
		}
		buffer = append(buffer, candidate{server: &servers[i], inFlight: inFlight.count(servers[i].ID)})
	}
	return buffer
}
