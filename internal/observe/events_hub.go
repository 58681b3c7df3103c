package observe

import "github.com/rs/zerolog"

// Events 2140 to 2179: the connections between entry VMs and control VMs on a
// platform with a route table, and the scheduler on the leader.
var (
	RoutesApplied = newEvent(2140, "routes_applied", zerolog.InfoLevel,
		"A new route table took effect on this VM. The line gives its version, the term in which this VM learned of it, and in ignored what was left out because its values cannot be used; on a control VM whether it is confirmed to be the newest (confirmed, see table_confirmed), without which entry VMs do not get it; on an entry VM the previous version and the control VM that sent it (control_vm). No action, unless something was left out: correct the table then.")
	RoutesUnreadable = newEvent(2141, "routes_unreadable", zerolog.ErrorLevel,
		"This VM could not read an accepted route table, so the previous one stays in force. Check that this VM runs the same program version as the others, and report the line.")
	ServerChanged = newEvent(2142, "server_changed", zerolog.InfoLevel,
		"A backend server joined, started to drain or left. The line gives its new state and the sequence number and age of its last announcement. No action.")
	EntryAttached = newEvent(2143, "entry_attached", zerolog.InfoLevel,
		"An entry VM connected to this control VM. The line gives the version of the route table that it has now (table_version), whether this VM has confirmed its own to be the newest (table_confirmed), how long that has been in force here (table_age), and the term. No action.")
	EntryDetached = newEvent(2144, "entry_detached", zerolog.InfoLevel,
		"An entry VM disconnected from this control VM; the slots of its requests were released. The line gives the reason, and for a stream that a new one replaced the entry VM of that one (by). The line also gives what this control VM had at that time: the version of the route table that it hands out (table_version), the leader and the term that it knows, and on a VM that does not lead the time since the leader last answered on the stream to it (leader_silent). If no entry_attached line follows, check that VM.")
	SchedulerChanged = newEvent(2145, "scheduler_changed", zerolog.InfoLevel,
		"The leader of the control group, which places requests, changed or began a new term. The line tells whether it is this VM (here). No action.")
	SpreadPeerChanged = newEvent(2146, "spread_peer_changed", zerolog.WarnLevel,
		"Another control VM became unreachable for server announcements, or reachable again (reachable). If it stays unreachable, check that VM and the network.")
	LinkAttached = newEvent(2147, "link_attached", zerolog.InfoLevel,
		"This entry VM connected to the named control VM. The line gives the version of its own route table, the time since it was last connected (detached) and the number of failed attempts since (failed). If the time is often over a second, see attach_failed.")
	PartQuarantined = newEvent(2157, "part_quarantined", zerolog.WarnLevel,
		"A part of prompts has crashed several backend servers. All entry VMs refuse requests with it. The line gives the part as in request_refused (subject), the number of crashes that are known, the number of parts and requests with evidence (suspects), and of those dropped for want of space (evicted). Find the prompts with the part and the defect of the server.")
	RequestQuarantined = newEvent(2158, "request_quarantined", zerolog.WarnLevel,
		"A request that comes again has crashed several backend servers. All entry VMs refuse requests of the same team with the same method, host, path and body. The fields are those of part_quarantined. Find the request by its identity in the connection_lost_before_answer lines, and the defect of the server; ten minutes after the last crash the request is let through again.")
	EntryCredibility = newEvent(2159, "entry_credibility", zerolog.WarnLevel,
		"An entry VM fails on most of the backend servers that it has used lately, while others reach them, so that its reports take no server out for other VMs any more; or they count again (credible). The line gives the numbers of servers on which it fails and which it reaches. An entry VM logs this of itself while it places requests by itself. If credible does not become true, check the network between that VM and the backend servers.")
	QuorumMargin = newEvent(2156, "quorum_margin", zerolog.InfoLevel,
		"The number of voters of the control group, or of those that the leader reaches, changed. margin is how many of the reachable voters may fail before the group stops accepting changes. If it stays at 0, bring back the control VMs that don't run, or replace them.")
	LinkLost = newEvent(2148, "link_lost", zerolog.WarnLevel,
		"This entry VM lost the connection to its control VM and tries others; meanwhile it places requests by itself. If no link_attached line follows, check the control VMs and the network.")
	MembershipPlanned = newEvent(2149, "membership_planned", zerolog.InfoLevel,
		"The leader changes the members of the control group by itself, to add a VM that joins, to replace one that is unresponsive, or to remove one that stops and is not needed. The line gives the step and the reason. No action.")
	MembershipFailed = newEvent(2150, "membership_failed", zerolog.WarnLevel,
		"A change of the members of the control group failed; it is tried again. If it repeats, check the VM at the address in the line.")
	ReplicaRestarting = newEvent(2151, "replica_restarting", zerolog.WarnLevel,
		"This VM's member of the control group stopped unexpectedly, mostly because of a failed disk write, and is restarted within this process. Check the disk and its free space.")
	ControlStopIncomplete = newEvent(2152, "control_stop_incomplete", zerolog.WarnLevel,
		"A control VM that stops could not transfer leadership or leave the control group in time. The other control VMs elect a new leader, and remove a voter that does not come back, by themselves. No action.")
	JoinWaiting = newEvent(2153, "join_waiting", zerolog.WarnLevel,
		"This control VM asked to join the control group as a voter, and the request failed; it is sent again. The line gives the last error. If it repeats, check the network to the seeds.")
	SchedulerSuspect = newEvent(2155, "scheduler_suspect", zerolog.WarnLevel,
		"The control VM that places requests did not answer in time, so this entry VM places requests by itself until the control VM answers again. If it repeats, check the processor load and the network of that VM.")
	SchedulerLoad = newEvent(2154, "scheduler_load", zerolog.InfoLevel,
		"The load of the scheduler, logged once a second by the leader while requests are queued or placed. Fields: queued requests (waiting), those of them past their target latency (late_waiting), placed requests, unavailable servers (out) and the longest remaining pass of a server. If waiting stays high, add backend servers.")
	StartLaterThanExpected = newEvent(2190, "start_later_than_expected", zerolog.InfoLevel,
		"The first event of a request came after its latency target although the scheduler had expected it in time. The line compares the expected time since the placement with the real one and tells what was placed on the server meanwhile. If it repeats for one server, that server is slower than its engine model.")
	ServerSlowdownChanged = newEvent(2191, "server_slowdown_changed", zerolog.InfoLevel,
		"A model engine turned out to be slower than its engine model by the factor slowdown, from the late events of its streams, or the factor was reduced because no further ones came. It gets fewer requests meanwhile. If it repeats for one server, check that server.")
	ForwarderAttached = newEvent(2160, "forwarder_attached", zerolog.InfoLevel,
		"Another control VM opened a stream to this VM, which places the requests of its entry VMs. The line gives the number of its entry VMs (entry_vms). No action.")
	ForwarderDetached = newEvent(2161, "forwarder_detached", zerolog.InfoLevel,
		"The stream of another control VM ended; the slots of its entry VMs' requests are released a second later unless it comes back. If no forwarder_attached line follows, here or on the next leader, check that VM.")
	ForwardingEnded = newEvent(2162, "forwarding_ended", zerolog.WarnLevel,
		"The stream of this control VM to the leader ended. Until the next one, this VM places the requests of its entry VMs on its share of the servers. If the line repeats, check the leader and the network.")
	AnnouncementConflict = newEvent(2163, "announcement_conflict", zerolog.WarnLevel,
		"An announcement was left out, because it names a service that the route table does not, for the id or the address of a server in use. The line names both (server, service; known, known_service) and the version of the table (table_version). These lines are rate limited. Find who sends the announcements; if the service is to be used, add it to the route table.")
	TableConfirmed = newEvent(2164, "table_confirmed", zerolog.InfoLevel,
		"This control VM has read the newest route table through the leader for the first time since its start (after), and hands out route tables from now on. The line gives the version of that table, the one that this VM knew before from its disk (own_version), and the term. No action.")
	TableFetched = newEvent(2165, "table_fetched", zerolog.WarnLevel,
		"The replicated log did not bring a route table to this control VM that another one has in force, so this VM read the newest one through the leader (leader), or the one in force at the control VM that has it (from), or failed to (error). The line gives the version read, the one that this VM had (own_version), since when it has been waiting (behind) and the term. If it repeats, check the disk of this VM and the network to the leader.")
	AttachFailed = newEvent(2166, "attach_failed", zerolog.WarnLevel,
		"This entry VM could not connect to a control VM and tries others. The line gives the control VM, the error and the time that the attempt took (after). Expected for control VMs that have been replaced. If no link_attached line follows, check the control VMs and the network.")
	TableDoubted = newEvent(2168, "table_doubted", zerolog.WarnLevel,
		"This control VM did not run for a while (suspended), in which the others may have accepted a newer route table. It gives entry VMs no table until another control VM has told its version, or for a second if none does; entry VMs keep the one that they have. If it repeats, check the processor share of this VM.")
	TableTrusted = newEvent(2169, "table_trusted", zerolog.InfoLevel,
		"This control VM gives its route table to entry VMs again. The line gives the time since table_doubted (after). No action.")
	ServerLimitChanged = newEvent(2167, "server_limit_changed", zerolog.InfoLevel,
		"A backend server has stated in an answer how many requests a second it takes from all VMs together (per_second), or no longer states a limit (limited false), and this control VM has learned of it. The line gives the age of the answer and the entry VM that reported it (entry_vm), empty if another control VM did. No action; other servers get the rest.")
	ServerWarmUpChanged = newEvent(2192, "server_warm_up_changed", zerolog.InfoLevel,
		"The warm-up of a backend server whose service bounds the requests during it has begun (cold true) or ended, as the leader knows it. The line gives the requests a second that the service states (per_second), the rate at which this VM places requests (planned), the number of cold servers (cold_servers), and at the begin the time that is left (left), at the end how long it took (after) and the requests placed (placed). If many servers are cold and requests are refused, wait for the end of the warm-ups.")
)
