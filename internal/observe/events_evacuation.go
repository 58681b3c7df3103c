package observe

import "github.com/rs/zerolog"

// Events 2170 to 2179: evacuations of availability zones. A placement that is turned down
// because of one has the event PlacementTurnedDown.
var (
	EvacuationOrdered = newEvent(2170, "evacuation_ordered", zerolog.InfoLevel,
		"An operator (by) has ordered this control VM to evacuate an availability zone or to restore it (evacuated false). The line gives the leader, the revision of the evacuations that this VM knew when the order arrived (known_revision), and the revision that holds the order, or why the order was not acknowledged (error). After an error the order is to be sent again. It may be in force or not, except after \"the evacuations have changed since the order arrived\": then it has changed nothing, because another order came first or because this VM lags behind the leader. If that repeats at one control VM, check its connection to the others.")
	EvacuationStored = newEvent(2171, "evacuation_stored", zerolog.InfoLevel,
		"This VM, the leader, has stored an order to evacuate or to restore an availability zone on a majority of the control VMs. The line gives the control VM from which the order came (from), the revision of the evacuations with it and the term. An order for the state that holds, as one that was sent again, changes nothing and has the revision of before. No action.")
	EvacuationsApplied = newEvent(2172, "evacuations_applied", zerolog.InfoLevel,
		"This VM obeys other evacuations from now on: backend servers in the zones get no new requests. The line gives their revision, the zones now and before (previous) and where the state came from (source): on a control VM the replicated log, the leader or another control VM, on an entry VM the control VM that sent it. If an entry VM has no such line with the revision of evacuation_stored within a few seconds, check its connection to the control VMs. After the first order, table_version in entry_attached, entry_detached and link_attached is the version of the route table plus this revision, and so is revision in the other lines on route tables.")
)
