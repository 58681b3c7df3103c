package observe

import "github.com/rs/zerolog"

// Events 2100-2399: bundles, their distribution, orders to backend servers and
// connections between VMs.
var (
	PeerCertificateRefused = newEvent(2100, "peer_certificate_refused", zerolog.WarnLevel,
		"A TLS handshake of another VM failed. If the peer is one of yours, renew its certificate or its CA file.")
	PeerClusterRefused = newEvent(2101, "peer_cluster_refused", zerolog.WarnLevel,
		"A call of a VM of another cluster was refused. Correct the cluster name in that VM's settings.")
)
