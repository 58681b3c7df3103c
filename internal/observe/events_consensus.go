package observe

import "github.com/rs/zerolog"

// Events 2000-2099: the replicated log of the control group.
var (
	ReplicaStarted = newEvent(2000, "replica_started", zerolog.InfoLevel,
		"The data folder was read; the line gives the member id, the group and the last entry. No action.")
	ReplicaFolderNew = newEvent(2001, "replica_folder_new", zerolog.WarnLevel,
		"The data folder was empty: a new member id was made. Expected at the first start and after a repair; if the folder should hold data, stop the VM and look for its disk.")
	ReplicaTornRecord = newEvent(2002, "replica_torn_record", zerolog.WarnLevel,
		"The log ended in an incomplete record, which was never acknowledged; it was cut off. Expected after a crash. No action.")
	ReplicaFailed = newEvent(2003, "replica_failed", zerolog.ErrorLevel,
		"Writing to the data folder failed; this member has stopped. Check the disk and its free space, then restart the process.")
	ReplicaStopped = newEvent(2004, "replica_stopped", zerolog.InfoLevel,
		"The member stopped as planned. No action.")
	GroupFormed = newEvent(2010, "group_formed", zerolog.InfoLevel,
		"The listed control VMs formed the control group. Expected once in the life of a system.")
	GroupWaiting = newEvent(2011, "group_waiting", zerolog.WarnLevel,
		"This control VM has no group and waits. The line says why: a listed VM does not answer, or the group exists and this VM must be added to it.")
	ElectionStarted = newEvent(2020, "election_started", zerolog.InfoLevel,
		"This member hears no leader and asks the others for their votes. If it repeats, check the network to the other control VMs.")
	BecameLeader = newEvent(2021, "became_leader", zerolog.InfoLevel,
		"This member leads the control group. No action.")
	SteppedDown = newEvent(2022, "stepped_down", zerolog.WarnLevel,
		"This member no longer leads; the line gives the reason. lease_expired: it lost the majority; disk_stalled: its disk hangs; clock_went_back: check the clock.")
	LeaderKnown = newEvent(2023, "leader_known", zerolog.InfoLevel,
		"This member follows the named leader. No action.")
	SnapshotReceived = newEvent(2030, "snapshot_received", zerolog.InfoLevel,
		"This member was too far behind for the log and received the whole state. No action.")
	SnapshotFailed = newEvent(2031, "snapshot_failed", zerolog.ErrorLevel,
		"The state could not be encoded; the log grows until it can. Report the error.")
	MembershipChanged = newEvent(2040, "membership_changed", zerolog.InfoLevel,
		"The control group has other members now; the line lists them. No action.")
	MemberRemoved = newEvent(2041, "member_removed", zerolog.WarnLevel,
		"Another control VM says that this member was removed from the group. Stop the process, or wipe the data folder and add the VM again.")
	MemberUnreachable = newEvent(2050, "member_unreachable", zerolog.WarnLevel,
		"The stream to another control VM ended or went silent; a new connection is opened. If it repeats, check that VM and the network.")
	MemberReachable = newEvent(2051, "member_reachable", zerolog.InfoLevel,
		"The stream to another control VM is up. No action.")
	MessageRefused = newEvent(2052, "message_refused", zerolog.WarnLevel,
		"A message for the control group was refused as malformed or meant for another member. Lines are limited in rate. Expected for a while after a repair; else find the sender.")
	StreamRefused = newEvent(2053, "stream_refused", zerolog.WarnLevel,
		"A VM of another cluster tried to reach the control group. Correct its settings.")
)
