package schedule

import "slices"

// isBarred reports whether a request must not go to the server: it was marked for the request, it is outside of the zones that
// the request allows, or it is cold and the request a hedge.
func (srv *server) isBarred(j *job) bool {
	if srv.excludedBy == j || srv.cold && j.request.Hedge {
		return true
	}
	return !srv.isInZonesOf(j)
}

// isInZonesOf reports whether the request allows the zone of the server.
func (srv *server) isInZonesOf(j *job) bool {
	return len(j.request.AllowedZones) == 0 || slices.Contains(j.request.AllowedZones, srv.Zone)
}
