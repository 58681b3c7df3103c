package observe

import "github.com/rs/zerolog"

// Events 2400-2499: claim records.
var (
	LedgerEpochStarted = newEvent(2400, "ledger_epoch_started", zerolog.InfoLevel,
		"The control VMs that hold claim records changed. No action.")
	LedgerRepaired = newEvent(2401, "ledger_repaired", zerolog.InfoLevel,
		"A new holder of claim records has merged those of the others and grants claims. No action.")
	LedgerRepairWaits = newEvent(2402, "ledger_repair_waits", zerolog.WarnLevel,
		"A new holder of claim records cannot reach a majority of the holders before it and grants nothing yet. Bring those VMs back.")
	LedgerWriteFailed = newEvent(2403, "ledger_write_failed", zerolog.ErrorLevel,
		"Claim records could not be synced; the holder grants nothing any more. Check the disk and restart the process.")
	LedgerRecordCut = newEvent(2404, "ledger_record_cut", zerolog.WarnLevel,
		"An incomplete last batch of claim records was cut off after a crash; it was never acknowledged. No action.")
)
