package observe

import "github.com/rs/zerolog"

// Events 2100-2399: bundles, their distribution, orders to backend servers and
// connections between VMs.
var (
	PeerCertificateRefused = newEvent(2100, "peer_certificate_refused", zerolog.WarnLevel,
		"A TLS handshake of another VM failed. If the peer is one of yours, renew its certificate or its CA file.")
	PeerClusterRefused = newEvent(2101, "peer_cluster_refused", zerolog.WarnLevel,
		"A call of a VM of another cluster was refused. Correct the cluster name in that VM's settings.")
	BundleInForce = newEvent(2110, "bundle_in_force", zerolog.InfoLevel,
		"This VM verified a bundle and put it in force. No action.")
	BundleRefused = newEvent(2111, "bundle_refused", zerolog.ErrorLevel,
		"A received bundle failed its check. Compare the operator keys in this VM's settings with those of the control VMs.")
	WatcherSilent = newEvent(2112, "watcher_silent", zerolog.WarnLevel,
		"A VM that watches this one went silent and its stream was closed. Look at that VM if it does not come back.")
	UpstreamSilent = newEvent(2113, "upstream_silent", zerolog.WarnLevel,
		"The VM that this one watches went silent; its connection was abandoned and another VM is tried. No action while another is found.")
	UpstreamAttached = newEvent(2114, "upstream_attached", zerolog.InfoLevel,
		"This VM receives bundles from the named VM. No action.")
	UpstreamLost = newEvent(2115, "upstream_lost", zerolog.InfoLevel,
		"This VM stopped receiving bundles from the named VM and tries others. No action while one is found.")
	SubmissionAnswered = newEvent(2120, "submission_answered", zerolog.InfoLevel,
		"The control group answered a submission of a bundle. No action.")
	RollAnswered = newEvent(2121, "roll_answered", zerolog.InfoLevel,
		"The control group answered a request to start or stop a roll. No action.")
	ControlVMAdded = newEvent(2122, "control_vm_added", zerolog.InfoLevel,
		"A control VM was added and votes. No action.")
	ControlVMRemoved = newEvent(2123, "control_vm_removed", zerolog.InfoLevel,
		"A control VM was removed from the control group. Wipe its data folder before it is added again.")
	LeaderWorkStarted = newEvent(2124, "leader_work_started", zerolog.InfoLevel,
		"This VM leads the control group and begins to plan orders. No action.")
	LeaderWorkStopped = newEvent(2125, "leader_work_stopped", zerolog.InfoLevel,
		"This VM leads no more and gives no more orders. No action.")
	OrderSent = newEvent(2130, "order_sent", zerolog.InfoLevel,
		"The leader gave an order to a model engine. No action.")
	OrderDone = newEvent(2131, "order_done", zerolog.InfoLevel,
		"A model engine's own state shows that its order was carried out. No action.")
	OrderRefused = newEvent(2132, "order_refused", zerolog.ErrorLevel,
		"A model engine refused an order; it gets no other for 30 s. Look at the reason, and correct the bundle or the engine.")
	OrderStale = newEvent(2133, "order_stale", zerolog.WarnLevel,
		"A model engine has had orders of a newer leader; this VM gives no more orders in this term. No action.")
)
