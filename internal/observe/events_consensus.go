package observe

import "github.com/rs/zerolog"

// Events 2000 to 2099: the control group and its replicated log.
var (
	ReplicaStarted = newEvent(2000, "replica_started", zerolog.InfoLevel,
		"This member of the control group has loaded its data folder. The line gives the member id, the group, the term and the index of the last log entry. No action.")
	ReplicaFolderNew = newEvent(2001, "replica_folder_new", zerolog.WarnLevel,
		"The data folder was empty, so a new member id was created. Expected at the first start and after the folder was wiped. If the folder should contain data, stop the VM and check that its disk is mounted.")
	ReplicaTornRecord = newEvent(2002, "replica_torn_record", zerolog.WarnLevel,
		"The log on disk ended in an incomplete record, which was removed. Expected after a crash; the record was never acknowledged, so no data is lost. No action.")
	ReplicaFailed = newEvent(2003, "replica_failed", zerolog.ErrorLevel,
		"This member of the control group stopped because of an error, mostly a failed write to the data folder. Check the disk and its free space. If replica_restarting does not follow, restart the process.")
	ReplicaStopped = newEvent(2004, "replica_stopped", zerolog.InfoLevel,
		"This member of the control group has stopped: at a planned stop, or after the error of a replica_failed line. No action.")
	GroupFormed = newEvent(2010, "group_formed", zerolog.InfoLevel,
		"The configured control VMs formed the control group. Expected once in the life of a cluster. No action.")
	GroupWaiting = newEvent(2011, "group_waiting", zerolog.WarnLevel,
		"This control VM belongs to no control group yet and waits. The line gives the reason. If a listed VM does not answer, check that VM; if the group already exists, add this VM to it with `godwityoke vm add`.")
	ElectionStarted = newEvent(2020, "election_started", zerolog.InfoLevel,
		"This member has no leader and asks the other control VMs for their votes, of which a quorum is needed. Expected when a leader stops. If it repeats, compare the number of voters with the control VMs that run, and check the network between them.")
	BecameLeader = newEvent(2021, "became_leader", zerolog.InfoLevel,
		"This member was elected leader of the control group. No action.")
	SteppedDown = newEvent(2022, "stepped_down", zerolog.WarnLevel,
		"This member is no longer the leader. The line gives the reason. No action for higher_term, transfer and removed. lease_expired: it could not reach a majority in time, check the network. disk_stalled: a write to its disk took too long, check the disk. clock_went_back: check the time synchronisation of the VM.")
	LastLeaderEnded = newEvent(2024, "last_leader_ended", zerolog.InfoLevel,
		"Another member (by) answers at the address of the member that led last before the start of this one, so that the promises to that leader have ended and an election may begin at once. Expected after the leader lost its disk together with the power of all control VMs. No action.")
	LeaderKnown = newEvent(2023, "leader_known", zerolog.InfoLevel,
		"This member follows the leader that the line names. No action.")
	SnapshotReceived = newEvent(2030, "snapshot_received", zerolog.InfoLevel,
		"This member was too far behind the leader's log and received a snapshot of the whole state instead. No action.")
	SnapshotFailed = newEvent(2031, "snapshot_failed", zerolog.ErrorLevel,
		"A snapshot of the state could not be made, because encoding failed or the result is too large. The log on disk grows until a snapshot succeeds. Report the error, and watch the free disk space.")
	MembershipChanged = newEvent(2040, "membership_changed", zerolog.InfoLevel,
		"The members of the control group have changed. The line lists the current members, and how many of them are voters and make a quorum. No action.")
	MemberRemoved = newEvent(2041, "member_removed", zerolog.WarnLevel,
		"Another control VM reports that this member was removed from the control group, as after a planned stop or an outage. On a platform without a list of VMs it joins again by itself. Otherwise stop the process if that was intended, or wipe the data folder and add the VM again.")
	MemberUnreachable = newEvent(2050, "member_unreachable", zerolog.WarnLevel,
		"The connection to another control VM failed or timed out; this VM reconnects by itself. If it repeats, check that VM and the network.")
	MemberReachable = newEvent(2051, "member_reachable", zerolog.InfoLevel,
		"The connection to another control VM is up. No action.")
	MessageRefused = newEvent(2052, "message_refused", zerolog.WarnLevel,
		"A message or a plan to form the control group was refused, because it was malformed, meant for another member, or did not fit the state of this one. These lines are rate limited. Expected for a short time after a control VM was replaced. If they go on, find the sender.")
	StreamRefused = newEvent(2053, "stream_refused", zerolog.WarnLevel,
		"A VM of another cluster tried to connect to the control group and was refused. Correct the cluster name or the addresses in the settings of that VM.")
)
