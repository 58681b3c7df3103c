package observe

import "github.com/rs/zerolog"

// Events 2100 to 2399, except 2140 to 2179: bundles and their distribution,
// orders to model engines, and connections between VMs.
var (
	PeerCertificateRefused = newEvent(2100, "peer_certificate_refused", zerolog.WarnLevel,
		"The TLS handshake with a connecting VM failed. If the peer belongs to this cluster, check its certificate and the CA files of both VMs.")
	PeerClusterRefused = newEvent(2101, "peer_cluster_refused", zerolog.WarnLevel,
		"A call from a VM of another cluster was refused. Correct the cluster name in the settings of that VM.")
	BundleInForce = newEvent(2110, "bundle_in_force", zerolog.InfoLevel,
		"This VM has verified a bundle and now uses it. No action.")
	BundleRefused = newEvent(2111, "bundle_refused", zerolog.ErrorLevel,
		"A bundle that this VM received could not be decoded or verified, so the previous one stays in force. Compare the operator keys in the settings of this VM with those of the control VMs.")
	WatcherSilent = newEvent(2112, "watcher_silent", zerolog.WarnLevel,
		"A VM that receives bundles from this one sent no heartbeat in time, so its stream was closed. It reconnects by itself. If it does not, check that VM.")
	UpstreamSilent = newEvent(2113, "upstream_silent", zerolog.WarnLevel,
		"The VM from which this one receives bundles sent no heartbeat in time, so the connection was closed and another VM is tried. If no upstream_attached line follows, check the network.")
	UpstreamAttached = newEvent(2114, "upstream_attached", zerolog.InfoLevel,
		"This VM now receives bundles from the named VM. No action.")
	UpstreamLost = newEvent(2115, "upstream_lost", zerolog.InfoLevel,
		"This VM no longer receives bundles from the named VM and tries others. The line gives the reason. If no upstream_attached line follows, check the network.")
	SubmissionAnswered = newEvent(2120, "submission_answered", zerolog.InfoLevel,
		"The control group answered the submission of a bundle. The line gives the result code. No action.")
	RollAnswered = newEvent(2121, "roll_answered", zerolog.InfoLevel,
		"The control group answered a request to start or stop a roll. The line gives the result code. No action.")
	ControlVMAdded = newEvent(2122, "control_vm_added", zerolog.InfoLevel,
		"A control VM was added to the control group on an operator's request. No action.")
	ControlVMRemoved = newEvent(2123, "control_vm_removed", zerolog.InfoLevel,
		"A control VM was removed from the control group on an operator's request. Stop its process, and wipe its data folder before you add the VM again.")
	LeaderWorkStarted = newEvent(2124, "leader_work_started", zerolog.InfoLevel,
		"This VM became leader of the control group and started the leader's tasks, such as planning orders to model engines. No action.")
	LeaderWorkStopped = newEvent(2125, "leader_work_stopped", zerolog.InfoLevel,
		"This VM is no longer leader of the control group and stopped the leader's tasks. No action.")
	OrderSent = newEvent(2130, "order_sent", zerolog.InfoLevel,
		"The leader sent an order to a model engine. No action.")
	OrderDone = newEvent(2131, "order_done", zerolog.InfoLevel,
		"The state that a model engine reports shows that its order was carried out. No action.")
	OrderRefused = newEvent(2132, "order_refused", zerolog.ErrorLevel,
		"A model engine refused an order; it gets no other order for 30 s. Read the reason in the line, and correct the bundle or the engine.")
	OrderStale = newEvent(2133, "order_stale", zerolog.WarnLevel,
		"A model engine has already accepted orders of a leader with a later term, so this VM sends no more orders in its own term. No action.")
)
