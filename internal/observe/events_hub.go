package observe

import "github.com/rs/zerolog"

// Events 2140-2159: entry VMs and control VMs on a platform with routes.
var (
	RoutesApplied = newEvent(2140, "routes_applied", zerolog.InfoLevel,
		"A route table took effect on this VM; the line gives its version. No action.")
	RoutesUnreadable = newEvent(2141, "routes_unreadable", zerolog.ErrorLevel,
		"An accepted route table can't be read by this program; the one before it stays in force. Report the line.")
	ServerChanged = newEvent(2142, "server_changed", zerolog.InfoLevel,
		"A backend server came, began to drain or left; the line gives the announcement's sequence and age. No action.")
	EntryAttached = newEvent(2143, "entry_attached", zerolog.InfoLevel,
		"An entry VM attached to this control VM. No action.")
	EntryDetached = newEvent(2144, "entry_detached", zerolog.InfoLevel,
		"An entry VM left this control VM; its places are free again. If it does not come back, look at that VM.")
	SchedulerChanged = newEvent(2145, "scheduler_changed", zerolog.InfoLevel,
		"The control VM that places requests changed; the line tells whether it is this one. No action.")
	SpreadPeerChanged = newEvent(2146, "spread_peer_changed", zerolog.WarnLevel,
		"Announcements reach another control VM again, or no longer. If it stays out of reach, look at that VM.")
	LinkAttached = newEvent(2147, "link_attached", zerolog.InfoLevel,
		"This entry VM is attached to the named control VM. No action.")
	LinkLost = newEvent(2148, "link_lost", zerolog.WarnLevel,
		"This entry VM lost its control VM and tries others; until then it places requests by what it knows. No action while another is found.")
	MembershipPlanned = newEvent(2149, "membership_planned", zerolog.InfoLevel,
		"The leader changes the members of the control group by itself; the line gives the change and the reason. No action.")
	MembershipFailed = newEvent(2150, "membership_failed", zerolog.WarnLevel,
		"A change of the members was not carried out; it is tried again. If it repeats, look at the named VM.")
	ReplicaRestarting = newEvent(2151, "replica_restarting", zerolog.WarnLevel,
		"The member of the control group ended, mostly since its disk refused a write, and is started again in this process. Check the disk.")
	ControlStopIncomplete = newEvent(2152, "control_stop_incomplete", zerolog.WarnLevel,
		"A stopping leader could not hand leadership over; the others elect one. No action.")
	JoinWaiting = newEvent(2153, "join_waiting", zerolog.WarnLevel,
		"This control VM asks to vote and gets no answer; the line gives the last error. If it repeats, check the network to the seeds.")
	SchedulerSuspect = newEvent(2155, "scheduler_suspect", zerolog.WarnLevel,
		"The control VM that places requests did not answer in time; this entry VM places them itself until it does. If it repeats, look at that VM's processor and its links.")
	SchedulerLoad = newEvent(2154, "scheduler_load", zerolog.InfoLevel,
		"The load of the scheduler, once a second while it has any: requests that wait, those past their aim among them, and how long a server's pass takes. Many waiting for long: there are too few backend servers for the load.")
)
